package wasabipeer

import (
	"context"
	"errors"
	"io"
	"net/http"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

const (
	// MaxForwardBytes bounds the body and the header of a request that is forwarded.
	MaxForwardBytes = MaxRequestBytes - 16<<10
	// forwardChunkBytes bounds the data of one message of an answer.
	forwardChunkBytes = 64 << 10
	// maxForwardTimeout bounds the time that a forwarded request is served.
	maxForwardTimeout = 10 * wasabiridge.Minute
)

var _ wasabiridge.Forwarder = (*Client)(nil)

// Forward implements wasabiridge.Forwarder.
func (c *Client) Forward(ctx context.Context, address string, r wasabiridge.ForwardedRequest, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult {
	if size := len(r.Body) + headerBytes(r.Header); size > MaxForwardBytes {
		return wasabiridge.ForwardResult{Result: wasabiridge.AttemptNotRun, Reason: "request too large to forward"}
	}
	p, err := c.acquire(address)
	if err != nil {
		return wasabiridge.ForwardResult{Result: wasabiridge.AttemptNotRun, Declined: true, Reason: "no connection"}
	}
	defer func() { c.release(address, p, err) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	state := &call{}
	var stream grpc.ServerStreamingClient[pb.ForwardReply]
	if stream, err = pb.NewPeerClient(p.conn).Forward(withCall(ctx, state), encodeForward(r), grpc.MaxCallRecvMsgSize(MaxRequestBytes)); err != nil {
		return state.forwardFailure(err)
	}
	var result wasabiridge.ForwardResult
	result, err = receiveForward(stream, sink)
	if err != nil {
		return state.forwardFailure(err)
	}
	return result
}

// receiveForward passes the messages of an answer to the sink.
func receiveForward(stream grpc.ServerStreamingClient[pb.ForwardReply], sink wasabiridge.ForwardSink) (wasabiridge.ForwardResult, error) {
	hasHead := false
	for {
		reply, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF) && hasHead:
			return wasabiridge.ForwardResult{Result: wasabiridge.AttemptCompleted}, nil
		case err != nil:
			return wasabiridge.ForwardResult{}, err
		case reply.Refusal != nil && hasHead:
			return broken("refusal behind the beginning of an answer"), nil
		case reply.Refusal != nil:
			return decodeForwardRefusal(reply.Refusal), nil
		}
		if !hasHead {
			hasHead = true
			if err = sink.Head(int(reply.Status), decodeHeader(reply.Header)); err != nil {
				return broken("answer not accepted"), nil
			}
		}
		if len(reply.Data) == 0 {
			continue
		}
		if err = sink.Chunk(reply.Data); err != nil {
			return broken("answer not accepted"), nil
		}
	}
}

func broken(reason string) wasabiridge.ForwardResult {
	return wasabiridge.ForwardResult{Result: wasabiridge.AttemptBroken, Reason: reason}
}

// forwardFailure returns the result of a call that failed. The request has not run if
// nothing was sent, or if the other instance does not know the call.
func (c *call) forwardFailure(err error) wasabiridge.ForwardResult {
	switch code := status.Code(err); {
	case code == codes.Unimplemented || code == codes.Unauthenticated || !c.sent.Load():
		return wasabiridge.ForwardResult{Result: wasabiridge.AttemptNotRun, Declined: true, Reason: code.String()}
	default:
		return broken(code.String())
	}
}

// Forward serves a request that another instance passes on.
func (s *service) Forward(in *pb.ForwardRequest, stream grpc.ServerStreamingServer[pb.ForwardReply]) error {
	h, ok := s.handler.(wasabiridge.ForwardHandler)
	if !ok {
		return status.Error(codes.Unimplemented, "peer: this instance serves no forwarded requests")
	}
	r := decodeForward(in)
	ctx, cancel := context.WithTimeout(stream.Context(), r.Timeout.Duration())
	defer cancel()
	result := h.HandleForward(ctx, r, &streamSink{stream: stream})
	switch {
	case result.Result == wasabiridge.AttemptCompleted:
		return nil
	case result.Refusal.Kind != "":
		return stream.Send(&pb.ForwardReply{Refusal: &pb.ForwardRefusal{
			Kind: string(result.Refusal.Kind), Reason: result.Refusal.Reason, RetryAfterMs: uint64(max(result.Refusal.RetryAfter, 0)), Declined: result.Declined,
		}})
	}
	return status.Error(codes.Aborted, "peer: answer ended early")
}

// streamSink sends the answer to a forwarded request over a stream.
type streamSink struct {
	stream grpc.ServerStreamingServer[pb.ForwardReply]
}

// Head implements wasabiridge.ForwardSink.
func (s *streamSink) Head(code int, h http.Header) error {
	return s.stream.Send(&pb.ForwardReply{Status: uint32(code), Header: encodeHeader(h)})
}

// Chunk implements wasabiridge.ForwardSink.
func (s *streamSink) Chunk(data []byte) error {
	for len(data) > 0 {
		n := min(len(data), forwardChunkBytes)
		if err := s.stream.Send(&pb.ForwardReply{Data: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func encodeForward(r wasabiridge.ForwardedRequest) *pb.ForwardRequest {
	return &pb.ForwardRequest{
		From: string(r.From), Config: uint64(r.Config), Attempts: uint32(max(r.Attempts, 0)), Method: r.Method, Host: r.Host, Target: r.Target,
		Header: encodeHeader(r.Header), Body: r.Body, TimeoutMs: uint64(max(r.Timeout, 0)),
	}
}

func decodeForward(in *pb.ForwardRequest) wasabiridge.ForwardedRequest {
	return wasabiridge.ForwardedRequest{
		From: wasabiridge.InstanceID(in.From), Config: wasabiridge.ConfigVersion(in.Config), Attempts: int(in.Attempts), Method: in.Method, Host: in.Host,
		Target: in.Target, Header: decodeHeader(in.Header), Body: in.Body, Timeout: wasabiridge.Millis(min(in.TimeoutMs, uint64(maxForwardTimeout))),
	}
}

// decodeForwardRefusal converts a refusal. Only a refusal that says so guarantees that the
// request has not run.
func decodeForwardRefusal(in *pb.ForwardRefusal) wasabiridge.ForwardResult {
	out := wasabiridge.ForwardResult{Result: wasabiridge.AttemptBroken, Declined: in.Declined, Reason: in.Reason}
	out.Refusal = wasabiridge.Refusal{
		Kind: wasabiridge.RefusalKind(in.Kind), Reason: in.Reason, RetryAfter: wasabiridge.Millis(min(in.RetryAfterMs, uint64(wasabiridge.Hour))),
	}
	if out.Refusal.Kind.IsNotRun() {
		out.Result = wasabiridge.AttemptNotRun
	} else {
		out.Declined = false
	}
	return out
}

func encodeHeader(h http.Header) []*pb.HeaderField {
	out := make([]*pb.HeaderField, 0, len(h))
	for name, values := range h {
		out = append(out, &pb.HeaderField{Name: name, Values: values})
	}
	return out
}

func decodeHeader(fields []*pb.HeaderField) http.Header {
	out := make(http.Header, len(fields))
	for _, f := range fields {
		out[http.CanonicalHeaderKey(f.Name)] = f.Values
	}
	return out
}

func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}
