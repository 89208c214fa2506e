package wasabipeer

import (
	"context"

	"google.golang.org/grpc"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// maxStreamLife bounds how long an instance remembers a stream.
const maxStreamLife = 10 * wasabiridge.Minute

var _ wasabiridge.StreamFinder = (*Client)(nil)

// FindStream implements wasabiridge.StreamFinder.
func (c *Client) FindStream(ctx context.Context, address string, q wasabiridge.StreamQuery) (wasabiridge.StreamAnswer, error) {
	var out *pb.StreamAnswer
	err := c.invoke(ctx, invocation{address: address, timeout: exchangeTimeout,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			var err error
			out, err = stub.FindStream(ctx, &pb.StreamQuery{Key: uint64(q.Key), Pool: string(q.Pool), WindowMs: uint64(max(q.Window, 0))}, opts...)
			return err
		}})
	if err != nil {
		return wasabiridge.StreamAnswer{}, err
	}
	return decodeStreamAnswer(out, q.Key)
}

// FindStream answers a query for a stream.
func (s *service) FindStream(ctx context.Context, in *pb.StreamQuery) (*pb.StreamAnswer, error) {
	h, ok := s.handler.(wasabiridge.StreamHandler)
	if !ok {
		return nil, toStatus(ctx, wasabiridge.ErrUnavailable.New("peer: this instance remembers no streams"))
	}
	a, err := h.HandleFindStream(ctx, wasabiridge.StreamQuery{
		Key: wasabiridge.StreamKey(in.GetKey()), Pool: wasabiridge.PoolID(in.GetPool()),
		Window: wasabiridge.Millis(min(in.GetWindowMs(), uint64(wasabiridge.Day))),
	})
	if err != nil {
		return nil, toStatus(ctx, err)
	}
	out := &pb.StreamAnswer{WatchedMs: uint64(max(a.History.Watched, 0)), ListedMs: uint64(max(a.History.Age, 0)), Conflicting: a.Conflicting}
	for _, v := range a.History.Versions {
		out.Software = append(out.Software, string(v))
	}
	if a.Known {
		out.Stream = &pb.StreamNews{Pool: string(a.Origin.Pool), Software: string(a.Origin.Software), Keys: []uint64{in.GetKey()}, Sequence: uint32(max(a.Sequence, 0))}
	}
	return out, nil
}

// decodeStreamAnswer reports ErrInvalid for an answer about another stream, or with an
// unusable origin: a wrong one would join the output of two versions.
func decodeStreamAnswer(in *pb.StreamAnswer, key wasabiridge.StreamKey) (wasabiridge.StreamAnswer, error) {
	out := wasabiridge.StreamAnswer{Conflicting: in.GetConflicting(), History: wasabiridge.SoftwareHistory{
		Watched: wasabiridge.Millis(min(in.GetWatchedMs(), uint64(wasabiridge.Day))), Age: wasabiridge.Millis(min(in.GetListedMs(), uint64(wasabiridge.Day))),
	}}
	for _, v := range in.GetSoftware() {
		out.History.Versions = append(out.History.Versions, wasabiridge.SoftwareVersion(v))
	}
	s := in.GetStream()
	if s == nil {
		return out, nil
	}
	if s.GetPool() == "" || len(s.GetKeys()) != 1 || s.GetKeys()[0] != uint64(key) {
		return out, wasabiridge.ErrInvalid.New("peer: answer about another stream, or without a pool")
	}
	out.Known, out.Sequence = true, int(s.GetSequence())
	out.Origin = wasabiridge.StreamOrigin{Pool: wasabiridge.PoolID(s.GetPool()), Software: wasabiridge.SoftwareVersion(s.GetSoftware())}
	return out, nil
}

// streamGroup are streams with the same origin and sequence.
type streamGroup struct {
	origin   wasabiridge.StreamOrigin
	sequence int
}

// encodeStreams groups the updates. The life of a group is the longest of it.
func encodeStreams(updates []wasabiridge.StreamUpdate) []*pb.StreamNews {
	var out []*pb.StreamNews
	groups := map[streamGroup]*pb.StreamNews{}
	for _, u := range updates {
		in := streamGroup{origin: u.Origin, sequence: u.Sequence}
		g := groups[in]
		if g == nil {
			g = &pb.StreamNews{Pool: string(u.Origin.Pool), Software: string(u.Origin.Software), Sequence: uint32(max(u.Sequence, 0))}
			groups[in] = g
			out = append(out, g)
		}
		g.Keys = append(g.Keys, uint64(u.Key))
		g.LeftMs = max(g.LeftMs, uint32(min(max(u.Life, 0), maxStreamLife)))
	}
	return out
}

func decodeStreams(in []*pb.StreamNews) ([]wasabiridge.StreamUpdate, error) {
	var out []wasabiridge.StreamUpdate
	for _, g := range in {
		if len(g.GetKeys()) > maxUpdateEntries {
			return nil, wasabiridge.ErrInvalid.New("peer: group of %d streams, at most %d are allowed", len(g.GetKeys()), maxUpdateEntries)
		}
		origin := wasabiridge.StreamOrigin{Pool: wasabiridge.PoolID(g.GetPool()), Software: wasabiridge.SoftwareVersion(g.GetSoftware())}
		life := wasabiridge.Millis(min(g.GetLeftMs(), uint32(maxStreamLife)))
		for _, key := range g.GetKeys() {
			out = append(out, wasabiridge.StreamUpdate{Key: wasabiridge.StreamKey(key), Origin: origin, Sequence: int(g.GetSequence()), Life: life})
		}
	}
	return out, nil
}
