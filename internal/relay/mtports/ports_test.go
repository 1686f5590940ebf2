package mtports_test

import (
	"fmt"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
)

func ExamplePort_At() {
	site := &fleetv1.Site{Firstport: 7340}
	fmt.Println(mtports.EntryWords.At(site, "10.1.0.30"))
	fmt.Println(mtports.SidecarWords.At(site, "10.2.0.11:8405"))
	fmt.Println(mtports.EntryCalls.At(site, "10.1.0.30:7340"))
	// Output:
	// 10.1.0.30:7340
	// 10.2.0.11:7341
	// 10.1.0.30:7342
}
