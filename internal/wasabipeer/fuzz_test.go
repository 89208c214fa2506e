package wasabipeer_test

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// FuzzHeartbeat feeds arbitrary bytes to the decoder of heartbeats. What it
// accepts must be within the bounds and must not change when it is encoded and
// decoded again.
func FuzzHeartbeat(f *testing.F) {
	seed, err := proto.Marshal(wasabipeer.EncodeHeartbeat(sample))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add(seed[:len(seed)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var in pb.Heartbeat
		if err := proto.Unmarshal(data, &in); err != nil {
			return
		}
		h, err := wasabipeer.DecodeHeartbeat(&in)
		if err != nil {
			return
		}
		if h.From.ID == "" || len(h.Others) > 256 || len(h.LeavingBackends) > 256 {
			t.Fatalf("accepted beyond the bounds: %d others", len(h.Others))
		}
		again, err := wasabipeer.DecodeHeartbeat(wasabipeer.EncodeHeartbeat(h))
		if err != nil || !reflect.DeepEqual(again, h) {
			t.Fatalf("heartbeat changed when it was encoded and decoded again: %v\n%v\n%v", err, h, again)
		}
	})
}
