package mtquota_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
)

// Each line of the file is a request and its expected cost.
func TestCosts(t *testing.T) {
	g := NewWithT(t)
	file, err := os.Open("testdata/costs.txt")
	g.Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var unit, declared string
		var plain, prompt, output, parts, cost int64
		_, err := fmt.Sscan(lines.Text(), &unit, &plain, &declared, &prompt, &output, &parts, &cost)
		g.Expect(err).NotTo(HaveOccurred())
		account := &fleetv1.Account{Plain: plain}
		if unit == "token" {
			account.Unit = fleetv1.Unit_UNIT_TOKEN
		}
		asked := &fleetv1.Ask{
			Declared: declared != "no", Garbled: declared == "garbled", Prompt: prompt, Output: output,
			Parts: []*fleetv1.Part{{Id: "a", Tokens: parts}},
		}
		g.Expect(mtquota.Cost(account, asked)).To(Equal(cost), lines.Text())
	}
	g.Expect(lines.Err()).NotTo(HaveOccurred())
}

func BenchmarkAdmit(b *testing.B) {
	quota := mtquota.New("10.1.0.1:7340", bounds)
	account := &fleetv1.Account{Name: "school", Rate: 1e15, Burst: 1e15, Unit: fleetv1.Unit_UNIT_TOKEN}
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			quota.Admit(account, 1)
		}
	})
}
