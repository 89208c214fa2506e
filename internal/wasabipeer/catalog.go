package wasabipeer

import (
	"context"

	"google.golang.org/grpc"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// maxNews bounds the backend servers that one message of news tells of, and
// the saved parts that it names for each.
const (
	maxNews  = 1024
	maxSaved = 4096
)

var _ wasabiridge.CatalogPeers = (*Client)(nil)

// AskCatalog asks another instance for what it knows of the platform.
func (c *Client) AskCatalog(ctx context.Context, address string, q wasabiridge.CatalogQuery) (wasabiridge.CatalogAnswer, error) {
	var out *pb.CatalogAnswer
	err := c.invoke(ctx, invocation{address: address, timeout: exchangeTimeout,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			var err error
			out, err = stub.AskCatalog(ctx, &pb.CatalogQuery{ConfigDigest: q.ConfigDigest, BackendDigest: q.BackendDigest}, opts...)
			return err
		}})
	if err != nil {
		return wasabiridge.CatalogAnswer{}, err
	}
	return wasabiridge.CatalogAnswer{Config: decodePart(out.GetConfig()), Backends: decodePart(out.GetBackends())}, nil
}

// TellNews hands news to another instance.
func (c *Client) TellNews(ctx context.Context, address string, n wasabiridge.News) error {
	return c.invoke(ctx, invocation{address: address, timeout: exchangeTimeout,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			_, err := stub.TellNews(ctx, encodeNews(n), opts...)
			return err
		}})
}

// AskCatalog answers what is known here.
func (s *service) AskCatalog(ctx context.Context, in *pb.CatalogQuery) (*pb.CatalogAnswer, error) {
	h, ok := s.handler.(wasabiridge.CatalogHandler)
	if !ok {
		return nil, toStatus(ctx, wasabiridge.ErrUnavailable.New("peer: no catalog is kept here"))
	}
	answer, err := h.HandleAskCatalog(ctx, wasabiridge.CatalogQuery{ConfigDigest: in.ConfigDigest, BackendDigest: in.BackendDigest})
	if err != nil {
		return nil, toStatus(ctx, err)
	}
	return &pb.CatalogAnswer{Config: encodePart(answer.Config), Backends: encodePart(answer.Backends)}, nil
}

// TellNews takes the news of another instance.
func (s *service) TellNews(ctx context.Context, in *pb.News) (*pb.TellNewsResponse, error) {
	h, ok := s.handler.(wasabiridge.CatalogHandler)
	if !ok {
		return nil, toStatus(ctx, wasabiridge.ErrUnavailable.New("peer: no catalog is kept here"))
	}
	n, err := decodeNews(in)
	if err != nil {
		return nil, toStatus(ctx, err)
	}
	if err = h.HandleTellNews(ctx, n); err != nil {
		return nil, toStatus(ctx, err)
	}
	return &pb.TellNewsResponse{}, nil
}

func encodePart(p wasabiridge.CatalogPart) *pb.CatalogPart {
	return &pb.CatalogPart{
		Revision: p.Revision, Digest: p.Digest, Known: p.Age >= 0, AgeMs: uint64(max(p.Age, 0)), Content: p.Content,
	}
}

// decodePart takes a part without an age as one of which nothing is known.
func decodePart(p *pb.CatalogPart) wasabiridge.CatalogPart {
	out := wasabiridge.CatalogPart{Revision: p.GetRevision(), Digest: p.GetDigest(), Age: -1, Content: p.GetContent()}
	if p.GetKnown() && p.GetAgeMs() < uint64(wasabiridge.Day) {
		out.Age = wasabiridge.Millis(p.GetAgeMs())
	}
	return out
}

func encodeNews(n wasabiridge.News) *pb.News {
	out := &pb.News{From: string(n.From), Changed: n.Changed}
	for _, b := range n.Backends {
		one := &pb.BackendNews{
			Backend: string(b.Backend), RestingMs: uint64(max(b.Resting, 0)), Model: string(b.Model), Weights: uint64(b.Weights),
		}
		for _, part := range b.Saved {
			one.Saved = append(one.Saved, uint64(part))
		}
		out.Backends = append(out.Backends, one)
	}
	return out
}

func decodeNews(in *pb.News) (wasabiridge.News, error) {
	if len(in.Backends) > maxNews {
		return wasabiridge.News{}, wasabiridge.ErrInvalid.New("peer: news of %d backend servers", len(in.Backends))
	}
	n := wasabiridge.News{From: wasabiridge.InstanceID(in.From), Changed: in.Changed}
	for _, b := range in.Backends {
		if len(b.Saved) > maxSaved || len(b.Backend) > maxNameLen || len(b.Model) > maxNameLen {
			return wasabiridge.News{}, wasabiridge.ErrInvalid.New("peer: news exceed their bounds")
		}
		one := wasabiridge.BackendNews{
			Backend: wasabiridge.BackendServerID(b.Backend), Model: wasabiridge.ModelID(b.Model),
			Resting: wasabiridge.Millis(min(b.RestingMs, uint64(wasabiridge.Minute))), Weights: wasabiridge.WeightsVersion(b.Weights),
		}
		for _, part := range b.Saved {
			one.Saved = append(one.Saved, wasabiridge.BlockHash(part))
		}
		n.Backends = append(n.Backends, one)
	}
	return n, nil
}
