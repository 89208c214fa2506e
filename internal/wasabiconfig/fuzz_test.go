package wasabiconfig_test

import (
	"reflect"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
)

// FuzzDecodeDocument searches for rows that cause a panic, or that change when they are
// encoded and decoded again.
func FuzzDecodeDocument(f *testing.F) {
	seed, err := wasabiconfig.EncodeDocument(wasabiridge.ConfigDocument{Version: 3, Text: []byte(text("a")), Author: "ana", At: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"version":1,"text":"!"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := wasabiconfig.DecodeDocument(data)
		if err != nil {
			return
		}
		again, err := wasabiconfig.EncodeDocument(d)
		if err != nil {
			t.Fatal(err)
		}
		same, err := wasabiconfig.DecodeDocument(again)
		if err != nil || same.Version != d.Version || string(same.Text) != string(d.Text) || same.Author != d.Author || same.At != d.At {
			t.Fatalf("%+v became %+v: %v", d, same, err)
		}
	})
}

// FuzzAdopt passes arbitrary text to a machine as if a peer had sent it. A text that
// comes into force at one instance must come into force at any other.
func FuzzAdopt(f *testing.F) {
	f.Add([]byte(text("a")))
	f.Add([]byte(`{"rules": [`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := wasabiridge.ConfigDocument{Version: 1, Text: data}
		one, other := wasabiconfig.NewMachine(1), wasabiconfig.NewMachine(2)
		first := one.Handle(0, wasabiconfig.Accepted{Document: d})
		second := other.Handle(9, wasabiconfig.Fetched{Address: "p", Document: d})
		if one.Version() != other.Version() || !reflect.DeepEqual(first[:1], second[:1]) && one.Version() != 0 {
			t.Fatalf("effects %v at one instance, %v at another", first, second)
		}
	})
}
