// Package wasabiclient is a client for the operators' API of a router.
//
// A client can have several addresses and uses the first one that answers. If a
// connection was made but no answer arrived, only GET requests are sent to the
// next address: a change whose answer was lost may have taken effect, and the
// call returns ErrOutcomeUnknown.
//
// # Usage
//
//	client := wasabiclient.New(wasabiclient.Options{Addresses: []string{"127.0.0.1:9100"}, Key: key})
//	status, err := client.Status(ctx)
package wasabiclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
)

// Limits of a call.
const (
	// DefaultTimeout limits a call. It allows for the outcome report of a quarter,
	// which can take long.
	DefaultTimeout = 2 * time.Minute
	dialTimeout    = 3 * time.Second
	maxAnswerBytes = 256 << 20
)

// Error types that only this package returns.
var (
	// ErrUnauthorized means that the router rejected the key.
	ErrUnauthorized = wasabiridge.Errors.NewType("unauthorized")
	// ErrNotImplemented means that the router does not implement the request, for
	// example because it runs without the component that handles it.
	ErrNotImplemented = wasabiridge.Errors.NewType("not_built")
	// ErrRouter means that a router returned an internal error, or an error code
	// that this client does not know.
	ErrRouter = wasabiridge.Errors.NewType("router")
	// ErrNoRouter means that no address answered. The request had no effect.
	ErrNoRouter = wasabiridge.Errors.NewType("no_router", errorx.Temporary())
)

// theirs is the errorx property of an ErrConflict that contains the configuration
// in force at the router.
var theirs = errorx.RegisterProperty("theirs")

// ConflictingConfig returns the configuration with which a change was in conflict, if the
// error contains it.
func ConflictingConfig(err error) (wasabioperator.DocumentBody, bool) {
	value, found := errorx.ExtractProperty(err, theirs)
	if !found {
		return wasabioperator.DocumentBody{}, false
	}
	document, ok := value.(wasabioperator.DocumentBody)
	return document, ok
}

// Options configure a Client.
type Options struct {
	// Addresses are base URLs or host:port, in order of preference.
	Addresses []string
	// Key is the operator's key.
	Key string
	// Operator is the person's name, which the configuration history records.
	Operator string
	// TLS is used for https addresses. Nil means the default configuration, which
	// trusts the system's root certificates.
	TLS *tls.Config
	// Timeout limits each request to one address. Zero means DefaultTimeout.
	Timeout time.Duration
}

// Client sends requests to routers. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client. It does not connect yet.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{options: o, http: &http.Client{
		Timeout:   o.Timeout,
		Transport: wasabihead.Transport(&http.Transport{DialContext: dialer.DialContext, TLSClientConfig: o.TLS, ForceAttemptHTTP2: true}),
	}}
}

// request holds the parts of an HTTP request that do not depend on the address.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

// do sends a request to the first address that answers and decodes the JSON answer
// into a pointer. A *bytes.Buffer receives the answer undecoded.
func (c *Client) do(ctx context.Context, r request, into any) error {
	if len(c.options.Addresses) == 0 {
		return wasabiridge.ErrInvalid.New("client: no router address is configured")
	}
	var failures []string
	for _, address := range c.options.Addresses {
		response, err := c.send(ctx, address, r)
		if err == nil {
			defer response.Body.Close()
			return readAnswer(response, into)
		}
		if ctx.Err() != nil {
			return wasabiridge.ErrUnavailable.Wrap(ctx.Err(), "client: %s %s", r.method, r.path)
		}
		if r.method != http.MethodGet && !neverConnected(err) {
			return wasabiridge.ErrOutcomeUnknown.Wrap(err, "client: no answer from %s; it is unknown whether the change took effect", address)
		}
		failures = append(failures, address+": "+rootCause(err))
	}
	return ErrNoRouter.New("client: no router answers (%s)", strings.Join(failures, "; "))
}

func (c *Client) send(ctx context.Context, address string, r request) (*http.Response, error) {
	var (
		out *http.Request
		err error
	)
	if out, err = http.NewRequestWithContext(ctx, r.method, baseURL(address)+r.path, bytes.NewReader(r.body)); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "client: address %s", address)
	}
	// Without GetBody, http.Transport cannot read the body again and so cannot
	// send a change a second time after a reused connection turned out to be
	// closed.
	out.GetBody = nil
	for name, values := range r.header {
		out.Header[name] = values
	}
	out.Header.Set("Authorization", "Bearer "+c.options.Key)
	if c.options.Operator != "" {
		out.Header.Set(wasabioperator.OperatorHeader, c.options.Operator)
	}
	return c.http.Do(out)
}

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// neverConnected reports whether an error occurred before a connection was
// established, so that the request cannot have taken effect.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// rootCause returns the text of the innermost wrapped error.
func rootCause(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// readAnswer decodes a successful answer, or returns the error that the answer
// contains.
func readAnswer(response *http.Response, into any) error {
	var (
		data []byte
		err  error
	)
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes)); err != nil {
		return wasabiridge.ErrOutcomeUnknown.Wrap(err, "client: the answer was truncated")
	}
	if response.StatusCode != http.StatusOK {
		return readError(response, data)
	}
	if buffer, raw := into.(*bytes.Buffer); raw {
		buffer.Write(data)
		return nil
	}
	if err = json.Unmarshal(data, into); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "client: cannot decode the router's answer")
	}
	return nil
}

// errorTypes maps the error codes of a router to error types.
var errorTypes = map[wasabioperator.Code]*errorx.Type{
	wasabioperator.CodeInvalid:        wasabiridge.ErrInvalid,
	wasabioperator.CodeUnauthorized:   ErrUnauthorized,
	wasabioperator.CodeNotFound:       wasabiridge.ErrNotFound,
	wasabioperator.CodeConflict:       wasabiridge.ErrConflict,
	wasabioperator.CodeUnavailable:    wasabiridge.ErrUnavailable,
	wasabioperator.CodeOutcomeUnknown: wasabiridge.ErrOutcomeUnknown,
	wasabioperator.CodeNotImplemented: ErrNotImplemented,
}

// readError converts an error answer to an error. It returns ErrInvalid when the
// answer does not have the form of the operators' API.
func readError(response *http.Response, data []byte) error {
	var answer wasabioperator.ErrorResponse
	if err := json.Unmarshal(data, &answer); err != nil || answer.Error.Code == "" {
		return wasabiridge.ErrInvalid.New("client: HTTP status %s from a server that is not a router", response.Status)
	}
	kind, known := errorTypes[answer.Error.Code]
	if !known {
		return ErrRouter.New("%s", answer.Error.Message)
	}
	err := kind.New("%s", answer.Error.Message)
	if answer.Error.ConflictingConfig != nil {
		err = err.WithProperty(theirs, *answer.Error.ConflictingConfig)
	}
	return err
}
