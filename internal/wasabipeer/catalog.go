package wasabipeer

import (
	"context"

	"google.golang.org/grpc"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// maxUpdateEntries bounds each list of one state update, and the requests in
// flight that one instance may report for a backend server. maxTokens bounds
// the reported length of one prompt segment.
const (
	maxUpdateEntries = 4096
	maxTokens        = 1 << 24
	// maxInsideTokens bounds the tokens in flight that one instance may report
	// for a backend server, and maxPriority the absolute value of a request's
	// priority.
	maxInsideTokens = 1 << 30
	maxPriority     = 1 << 20
)

var _ wasabiridge.CatalogPeers = (*Client)(nil)

// QueryCatalog queries the catalog of another instance. It reports
// wasabiridge.ErrUnavailable when no catalog is kept there.
func (c *Client) QueryCatalog(ctx context.Context, address string, q wasabiridge.CatalogQuery) (wasabiridge.CatalogResponse, error) {
	var out *pb.CatalogAnswer
	err := c.invoke(ctx, invocation{address: address, timeout: exchangeTimeout,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			var err error
			out, err = stub.AskCatalog(ctx, &pb.CatalogQuery{ConfigDigest: q.ConfigDigest, BackendDigest: q.BackendDigest}, opts...)
			return err
		}})
	if err != nil {
		return wasabiridge.CatalogResponse{}, err
	}
	answer := wasabiridge.CatalogResponse{Config: decodePart(out.GetConfig()), Backends: decodePart(out.GetBackends())}
	for _, n := range out.GetNamings() {
		answer.TargetVersions = append(answer.TargetVersions, wasabiridge.TargetVersion{
			Model: wasabiridge.ModelID(n.Model), Weights: wasabiridge.WeightsVersion(n.Weights), Observed: n.Witnessed,
			Age: wasabiridge.Millis(min(n.AgeMs, uint64(wasabiridge.Day))),
		})
	}
	return answer, nil
}

// SendUpdate sends a state update to another instance.
func (c *Client) SendUpdate(ctx context.Context, address string, n wasabiridge.StateUpdate) error {
	return c.invoke(ctx, invocation{address: address, timeout: exchangeTimeout,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			_, err := stub.TellNews(ctx, encodeUpdate(n), opts...)
			return err
		}})
}

// AskCatalog answers a query with the catalog of this instance.
func (s *service) AskCatalog(ctx context.Context, in *pb.CatalogQuery) (*pb.CatalogAnswer, error) {
	h, ok := s.handler.(wasabiridge.CatalogHandler)
	if !ok {
		return nil, toStatus(ctx, wasabiridge.ErrUnavailable.New("peer: this instance keeps no catalog"))
	}
	answer, err := h.HandleQueryCatalog(ctx, wasabiridge.CatalogQuery{ConfigDigest: in.ConfigDigest, BackendDigest: in.BackendDigest})
	if err != nil {
		return nil, toStatus(ctx, err)
	}
	out := &pb.CatalogAnswer{Config: encodePart(answer.Config), Backends: encodePart(answer.Backends)}
	for _, n := range answer.TargetVersions {
		out.Namings = append(out.Namings, &pb.Naming{
			Model: string(n.Model), Weights: uint64(n.Weights), AgeMs: uint64(max(n.Age, 0)), Witnessed: n.Observed,
		})
	}
	return out, nil
}

// TellNews receives a state update of another instance.
func (s *service) TellNews(ctx context.Context, in *pb.News) (*pb.TellNewsResponse, error) {
	h, ok := s.handler.(wasabiridge.CatalogHandler)
	if !ok {
		return nil, toStatus(ctx, wasabiridge.ErrUnavailable.New("peer: this instance keeps no catalog"))
	}
	n, err := decodeUpdate(in)
	if err != nil {
		return nil, toStatus(ctx, err)
	}
	if err = h.HandleSendUpdate(ctx, n); err != nil {
		return nil, toStatus(ctx, err)
	}
	return &pb.TellNewsResponse{}, nil
}

func encodePart(p wasabiridge.CatalogPart) *pb.CatalogPart {
	return &pb.CatalogPart{
		Revision: wasabiridge.VersionOf(p.Revision), Epoch: uint64(wasabiridge.EpochOf(p.Revision)), Digest: p.Digest,
		Known: p.Age >= 0, AgeMs: uint64(max(p.Age, 0)), Content: p.Content,
	}
}

// decodePart treats a catalog part without an age, with an age of a day or more,
// or with an invalid revision as unknown.
func decodePart(p *pb.CatalogPart) wasabiridge.CatalogPart {
	out := wasabiridge.CatalogPart{Digest: p.GetDigest(), Age: -1, Content: p.GetContent()}
	var err error
	if out.Revision, err = wasabiridge.NewRevision(wasabiridge.StoreEpoch(p.GetEpoch()), p.GetRevision()); err != nil {
		return out
	}
	if p.GetKnown() && p.GetAgeMs() < uint64(wasabiridge.Day) {
		out.Age = wasabiridge.Millis(p.GetAgeMs())
	}
	return out
}

func encodeUpdate(n wasabiridge.StateUpdate) *pb.News {
	out := &pb.News{From: string(n.From), Changed: n.Changed, PassOn: n.PassOn, PassedOn: n.PassedOn}
	for _, r := range n.Backoffs {
		out.Rests = append(out.Rests, &pb.RestNews{
			Backend: string(r.Backend), RestingMs: uint64(max(r.Backoff, 0)), EasingMs: uint64(max(r.Drain, 0)), Model: string(r.Model), Weights: uint64(r.Weights),
			Incarnation: uint64(r.Incarnation),
		})
	}
	for _, l := range n.Loads {
		out.Loads = append(out.Loads, &pb.LoadNews{
			Backend: string(l.Backend), Inside: uint32(max(l.InFlight, 0)), WorkMs: uint32(max(l.Work, 0)),
			Tokens: uint32(min(max(l.Tokens, 0), maxInsideTokens)), Limit: encodeLimit(l.Limit), Brittle: encodeBrittle(l.Brittle),
			SlownessMilli: uint32(milli * min(max(l.Slowness, 0), maxSlowness)), SlownessAnswers: uint32(min(max(l.SlownessAnswers, 0), maxUpdateEntries)),
		})
	}
	for _, l := range n.Leaving {
		out.Leaving = append(out.Leaving, &pb.LeavingNews{Backend: string(l.Backend), Incarnation: uint64(l.Incarnation)})
	}
	for _, p := range n.Segments {
		out.Parts = append(out.Parts, &pb.PartNews{
			Backend: string(p.Backend), Key: p.Key, Tokens: uint32(max(p.Tokens, 0)), Own: uint32(max(p.RemainingTokens, 0)), Ready: p.Ready, Saved: p.Exported,
			WorkMs: uint32(max(p.Work, 0)), Kept: p.Imported, Priority: int32(min(max(p.Priority, -maxPriority), maxPriority)),
			Incarnation: uint64(p.Incarnation),
		})
	}
	for _, c := range n.Crashes {
		out.Crashes = append(out.Crashes, encodeCrash(c))
	}
	out.Streams = encodeStreams(n.Streams)
	encodeNumberings(out, n)
	encodeUses(out, n)
	encodeDemands(out, n)
	encodeAnswers(out, n)
	return out
}

func decodeUpdate(in *pb.News) (wasabiridge.StateUpdate, error) {
	if len(in.Rests) > maxUpdateEntries || len(in.Loads) > maxUpdateEntries || len(in.Parts) > maxUpdateEntries || len(in.Crashes) > maxUpdateEntries || len(in.Uses) > maxUpdateEntries || len(in.Leaving) > maxUpdateEntries || len(in.Streams) > maxUpdateEntries {
		return wasabiridge.StateUpdate{}, wasabiridge.ErrInvalid.New("peer: a list of the state update has too many entries")
	}
	n := wasabiridge.StateUpdate{From: wasabiridge.InstanceID(in.From), Changed: in.Changed, PassOn: in.PassOn, PassedOn: in.PassedOn}
	for _, r := range in.Rests {
		n.Backoffs = append(n.Backoffs, wasabiridge.BackoffUpdate{
			Backend: wasabiridge.BackendServerID(r.Backend), Model: wasabiridge.ModelID(r.Model),
			Backoff: wasabiridge.Millis(min(r.RestingMs, uint64(wasabiridge.Minute))),
			Drain:   wasabiridge.Millis(min(r.EasingMs, uint64(wasabiridge.Minute))), Weights: wasabiridge.WeightsVersion(r.Weights),
			Incarnation: wasabiridge.Incarnation(r.Incarnation),
		})
	}
	for _, l := range in.Loads {
		n.Loads = append(n.Loads, wasabiridge.LoadUpdate{
			Backend: wasabiridge.BackendServerID(l.Backend), InFlight: int(min(l.Inside, maxUpdateEntries)),
			Work: wasabiridge.Millis(min(uint64(l.WorkMs), uint64(wasabiridge.Minute))), Tokens: int(min(l.Tokens, maxInsideTokens)),
			Limit: decodeLimit(l.Limit), Brittle: decodeBrittle(l.Brittle), Slowness: float64(min(l.SlownessMilli, milli*maxSlowness)) / milli, SlownessAnswers: int(min(l.SlownessAnswers, maxUpdateEntries)),
		})
	}
	for _, l := range in.Leaving {
		n.Leaving = append(n.Leaving, wasabiridge.LeavingUpdate{Backend: wasabiridge.BackendServerID(l.Backend), Incarnation: wasabiridge.Incarnation(l.Incarnation)})
	}
	for _, p := range in.Parts {
		n.Segments = append(n.Segments, wasabiridge.SegmentUpdate{
			Backend: wasabiridge.BackendServerID(p.Backend), Key: p.Key, Tokens: int(min(p.Tokens, maxTokens)),
			RemainingTokens: int(min(p.Own, maxTokens)), Ready: p.Ready, Exported: p.Saved, Imported: p.Kept,
			Work:     wasabiridge.Millis(min(uint64(p.WorkMs), uint64(wasabiridge.Minute))),
			Priority: wasabiridge.Priority(min(max(p.Priority, -maxPriority), maxPriority)), Incarnation: wasabiridge.Incarnation(p.Incarnation),
		})
	}
	for _, c := range in.Crashes {
		crash, err := decodeCrash(c)
		if err != nil {
			return wasabiridge.StateUpdate{}, err
		}
		n.Crashes = append(n.Crashes, crash)
	}
	var err error
	if n.Streams, err = decodeStreams(in.Streams); err != nil {
		return wasabiridge.StateUpdate{}, err
	}
	decodeUses(&n, in)
	if err = decodeNumberings(&n, in); err != nil {
		return wasabiridge.StateUpdate{}, err
	}
	if err = decodeAnswers(&n, in); err != nil {
		return wasabiridge.StateUpdate{}, err
	}
	if err = decodeDemands(&n, in); err != nil {
		return wasabiridge.StateUpdate{}, err
	}
	return n, nil
}
