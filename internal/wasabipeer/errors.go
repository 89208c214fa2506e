package wasabipeer

import (
	"context"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/wasabiridge/wasabiridge"
)

// errorField names the error type in the trailer of a failed call. Only
// errors that the other instance itself reported carry it.
const errorField = "wasabi-error"

type errorKind struct {
	name string
	typ  *errorx.Type
	code codes.Code
}

var errorKinds = []errorKind{
	{"invalid", wasabiridge.ErrInvalid, codes.InvalidArgument},
	{"not_found", wasabiridge.ErrNotFound, codes.NotFound},
	{"conflict", wasabiridge.ErrConflict, codes.Aborted},
	{"unavailable", wasabiridge.ErrUnavailable, codes.Unavailable},
	{"outcome_unknown", wasabiridge.ErrOutcomeUnknown, codes.Unknown},
	{"fenced", wasabiridge.ErrFenced, codes.FailedPrecondition},
}

// toStatus turns an error of a handler into a gRPC status and names its type
// in the trailer.
func toStatus(ctx context.Context, err error) error {
	for _, k := range errorKinds {
		if !errorx.IsOfType(err, k.typ) {
			continue
		}
		if err := grpc.SetTrailer(ctx, metadata.Pairs(errorField, k.name)); err != nil {
			return status.Error(codes.Internal, err.Error())
		}
		return status.Error(k.code, err.Error())
	}
	return status.Error(codes.Internal, err.Error())
}

// call follows one call, so that its failure can be told apart.
type call struct {
	trailer metadata.MD
	sent    atomic.Bool
}

type callKey struct{}

func withCall(ctx context.Context, c *call) context.Context {
	return context.WithValue(ctx, callKey{}, c)
}

// fromStatus turns the failure of a call into an error of this project.
// effect says that the call may change something at the other instance.
func (c *call) fromStatus(err error, effect bool) error {
	if names := c.trailer.Get(errorField); len(names) == 1 {
		for _, k := range errorKinds {
			if k.name == names[0] {
				return k.typ.New("peer: %s", status.Convert(err).Message())
			}
		}
	}
	if effect && c.sent.Load() {
		return wasabiridge.ErrOutcomeUnknown.Wrap(err, "peer: no answer")
	}
	return wasabiridge.ErrUnavailable.Wrap(err, "peer: call failed")
}

// sentMarker is told by grpc-go when the headers of a call go out. Before
// that, nothing can have taken effect.
type sentMarker struct{}

// TagRPC leaves the call's context as it is.
func (sentMarker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC marks a call whose headers were written.
func (sentMarker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		c.sent.Store(true)
	}
}

// TagConn leaves the connection's context as it is.
func (sentMarker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores the events of connections.
func (sentMarker) HandleConn(context.Context, stats.ConnStats) {}
