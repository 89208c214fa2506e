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

// errorField is the trailer key that carries the error type of a failed call.
// Only errors that the other instance itself reported have it.
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

// toStatus converts an error of a handler to a gRPC status and sets its type in
// the trailer.
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

// call records the trailer of one call and whether its headers were sent, so
// that its failure can be classified.
type call struct {
	trailer metadata.MD
	sent    atomic.Bool
}

type callKey struct{}

func withCall(ctx context.Context, c *call) context.Context {
	return context.WithValue(ctx, callKey{}, c)
}

// fromStatus converts the failure of a call to an error of package wasabiridge.
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
		return wasabiridge.ErrOutcomeUnknown.Wrap(err, "peer: no valid response after the call was sent")
	}
	return wasabiridge.ErrUnavailable.Wrap(err, "peer: call failed")
}

// sentMarker is a stats handler that grpc-go notifies when the headers of a
// call are written. Before that, the call cannot have taken effect.
type sentMarker struct{}

// TagRPC returns the context of the call unchanged.
func (sentMarker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC marks a call when its headers have been written.
func (sentMarker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		c.sent.Store(true)
	}
}

// TagConn returns the context of the connection unchanged.
func (sentMarker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores connection events.
func (sentMarker) HandleConn(context.Context, stats.ConnStats) {}
