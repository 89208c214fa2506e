package wasabipeer_test

import (
	"context"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

var _ = Describe("How servers number events in an update", func() {
	// Guards against beliefs that change on the way to another instance.
	It("arrives complete", func() {
		h := &updateHandler{}
		o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
		server := serve(h, o)
		want := wasabiridge.StateUpdate{From: "i", AsksNumberings: true, Numberings: []wasabiridge.NumberingUpdate{
			{
				Pool: "p", Software: "v1", Largest: math.MaxInt64, Begins: wasabiridge.StepCounts{All: 7, Skips: 2}, Steps: wasabiridge.StepCounts{All: 90, Skips: 30},
				Servers: []wasabiridge.ServerNumbering{{Backend: "e1", Proven: true}, {Backend: "e2", Doubted: 3}, {Backend: "e3"}},
			},
			{Pool: "p"},
		}}
		Expect(connect(o).SendUpdate(context.Background(), server.Address(), want)).To(Succeed())
		Expect(h.got).To(Equal(want))
	})

	// Guards against counts of one instance that no stream can have shown.
	It("has counts within their range", func() {
		got, err := wasabipeer.DecodeUpdate(&pb.News{Numberings: []*pb.NumberingNews{{
			Pool: "p", Largest: math.MaxUint64, Begins: 1, BeginsSkips: 5, Steps: math.MaxUint32, StepsSkips: math.MaxUint32,
			Servers: []*pb.ServerNumberingNews{{Backend: "e", Doubted: math.MaxUint32}},
		}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Numberings).To(Equal([]wasabiridge.NumberingUpdate{{
			Pool: "p", Largest: math.MaxInt64, Begins: wasabiridge.StepCounts{All: 1, Skips: 1}, Steps: wasabiridge.StepCounts{All: 1 << 20, Skips: 1 << 20},
			Servers: []wasabiridge.ServerNumbering{{Backend: "e", Doubted: 1 << 20}},
		}}))
	})

	hostile := map[string]struct {
		update *pb.News
		want   string
	}{
		"too many pools":   {&pb.News{Numberings: make([]*pb.NumberingNews, 257)}, "257 numberings"},
		"too many servers": {&pb.News{Numberings: []*pb.NumberingNews{{Pool: "p", Servers: make([]*pb.ServerNumberingNews, 257)}}}, "257 servers"},
		"no pool":          {&pb.News{Numberings: []*pb.NumberingNews{{Software: "v"}}}, `pool ""`},
	}
	for _, name := range wasabitest.SortedKeys(hostile) {
		c := hostile[name]
		// Guards against an update that makes an instance hold more than it has room for.
		It("is refused with "+name, func() {
			_, err := wasabipeer.DecodeUpdate(c.update)
			Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
})
