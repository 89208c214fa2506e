package wasabikey_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabikey"
)

func TestWasabikey(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wasabikey")
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var _ = Describe("Index", func() {
	before := &wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{
		{ID: "liftwell", KeyHashes: []string{hashOf("first"), hashOf("second")}},
		{ID: "selam", KeyHashes: []string{"no hash", hashOf("third")}},
	}}
	after := &wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{
		{ID: "liftwell", KeyHashes: []string{hashOf("second")}},
	}}

	for name, c := range map[string]struct {
		key     string
		account string
	}{
		"each key of an account":       {key: "second", account: "liftwell"},
		"a key beside an invalid hash": {key: "third", account: "selam"},
		"an unknown key":               {key: "fourth"},
		"the hash of a key as the key": {key: hashOf("first")},
		"an empty key":                 {key: ""},
		"a prefix of a valid key":      {key: "firs"},
	} {
		It("finds accounts by key: "+name, func() {
			var keys wasabikey.Index
			account, ok := keys.Find(before, c.key)
			Expect(ok).To(Equal(c.account != ""))
			Expect(string(account.ID)).To(Equal(c.account))
		})
	}

	// Guards against a revoked key that stays valid: a client account changes its key
	// because the old one leaked, and the configuration is replaced while the instance
	// serves. The table of the previous configuration must not be used any more.
	It("rejects a key that the current configuration no longer contains", func() {
		var keys wasabikey.Index
		_, ok := keys.Find(before, "first")
		Expect(ok).To(BeTrue())
		_, ok = keys.Find(after, "first")
		Expect(ok).To(BeFalse())
		_, ok = keys.Find(after, "second")
		Expect(ok).To(BeTrue())
	})
})
