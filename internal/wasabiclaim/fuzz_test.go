package wasabiclaim_test

import (
	"testing"

	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
)

// FuzzTicket searches for a text that the decoder accepts although no instance
// issued it for the account.
func FuzzTicket(f *testing.F) {
	secret := []byte("secret")
	t := wasabiclaim.Ticket{Instance: "a", Incarnation: 3, Nonce: 9, Serial: 4, Expires: 77}
	good := wasabiclaim.EncodeTicket(secret, "lifts", t)
	f.Add(good)
	f.Add("wrt1.e30.AAAA")
	f.Add("")
	f.Fuzz(func(t *testing.T, key string) {
		got, err := wasabiclaim.DecodeTicket(secret, "lifts", key)
		if err == nil && wasabiclaim.EncodeTicket(secret, "lifts", got) != key {
			t.Fatalf("decoded a ticket that was never issued: %q", key)
		}
	})
}

// FuzzRecord searches for a row that decodes to a record that does not survive
// another round of encoding and decoding.
func FuzzRecord(f *testing.F) {
	f.Add(wasabiclaim.EncodeRecord(wasabiclaim.Record{State: "running", Request: "r", Holder: "a"}))
	f.Add([]byte(`{"state":"answered","answer":{"status":201,"body":"dg=="}}`))
	f.Add([]byte(`{"state":"answered"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := wasabiclaim.DecodeRecord(value)
		if err != nil {
			return
		}
		again, err := wasabiclaim.DecodeRecord(wasabiclaim.EncodeRecord(r))
		if err != nil || again.State != r.State || again.Request != r.Request || (again.Answer == nil) != (r.Answer == nil) {
			t.Fatalf("%q changed in a round trip: %v %v", value, again, err)
		}
	})
}
