package wasabilease_test

import (
	"testing"

	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// FuzzRecord checks that every row that can be decoded has a fencing number and
// does not change when it is encoded and decoded again.
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
			t.Fatalf("%q changed when it was decoded and encoded again: %+v %v", value, again, err)
		}
	})
}
