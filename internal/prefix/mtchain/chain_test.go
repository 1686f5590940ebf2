package mtchain_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// The sidecar hashes an engine's blocks one by one, and the entry hashes a whole prompt at once.
// Both must compute the same marks.
func TestChainMatchesIncrementalHashes(t *testing.T) {
	g := NewWithT(t)
	prompt := bytes.Repeat([]byte("Every slip is signed by one parent. "), 300)
	chain := mtchain.New("salt", 64, 16, prompt)
	g.Expect(chain.Len()).To(Equal(len(prompt) / 1024))
	hash := mtchain.RootHash("salt")
	for i := range chain.Len() * 16 {
		hash = mtchain.NextHash(hash, prompt[i*64:(i+1)*64])
		if (i+1)%16 == 0 {
			g.Expect(chain.At(i / 16)).To(Equal(hash))
		}
	}
}

// Different accounts, weights or adapters must not share a mark: a common one would let one
// account's prompt match cache entries of another account.
func TestSaltsShareNoMark(t *testing.T) {
	g := NewWithT(t)
	seen := map[[mtchain.MarkSize]byte]string{}
	prompt := bytes.Repeat([]byte("x"), 64*1024)
	for _, salt := range []string{
		mtchain.Salt("schools", "dossier", "v1", ""), mtchain.Salt("schools", "dossier", "v2", ""),
		mtchain.Salt("shops", "dossier", "v1", ""), mtchain.Salt("schools", "dossier", "v1", "a"),
		mtchain.Salt("schools", "dossierv1", "", ""),
	} {
		chain := mtchain.New(salt, 64, 16, prompt)
		for i := range chain.Len() {
			g.Expect(seen).NotTo(HaveKey(chain.At(i)), salt)
			seen[chain.At(i)] = salt
		}
	}
}
