package wasabilease_test

import (
	"testing"

	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// FuzzRecord looks for a row that decodes without a fencing number, or not to
// what was written.
func FuzzRecord(f *testing.F) {
	f.Add(wasabilease.EncodeRecord(wasabilease.Record{Holder: "a", Incarnation: 1, Fencing: 3}))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := wasabilease.DecodeRecord(value)
		if err != nil {
			return
		}
		again, err := wasabilease.DecodeRecord(wasabilease.EncodeRecord(r))
		if err != nil || r.Fencing == 0 || again != r {
			t.Fatalf("%q does not survive: %+v %v", value, again, err)
		}
	})
}
