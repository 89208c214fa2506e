// Package wasabiclient calls the operators' listener of a router.
//
// A client knows several addresses and uses the first one that answers. Only
// requests that change nothing go on to the next address after a connection
// was made: a change whose answer was lost may have taken effect, and the
// caller is told so with ErrOutcomeUnknown.
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
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
)

// Bounds of a call.
const (
	// DefaultTimeout bounds a call. A quarter's report may take long.
	DefaultTimeout = 2 * time.Minute
	dialTimeout    = 3 * time.Second
	maxAnswer      = 256 << 20
)

// Error types that only a client reports.
var (
	// ErrUnauthorized says that the router does not know the key.
	ErrUnauthorized = wasabiridge.Errors.NewType("unauthorized")
	// ErrNotBuilt says that the router has no such part.
	ErrNotBuilt = wasabiridge.Errors.NewType("not_built")
	// ErrRouter says that a router failed in a way that it has no name for.
	ErrRouter = wasabiridge.Errors.NewType("router")
	// ErrNoRouter says that no address answers. Nothing took effect.
	ErrNoRouter = wasabiridge.Errors.NewType("no_router", errorx.Temporary())
)

// theirs is the property under which an ErrConflict carries the configuration
// that it lost against.
var theirs = errorx.RegisterProperty("theirs")

// Theirs returns the configuration that a change lost a race against.
func Theirs(err error) (wasabioperator.DocumentBody, bool) {
	value, found := errorx.ExtractProperty(err, theirs)
	if !found {
		return wasabioperator.DocumentBody{}, false
	}
	document, ok := value.(wasabioperator.DocumentBody)
	return document, ok
}

// Options configure a Client.
type Options struct {
	// Addresses are base URLs or host:port, in the order of preference.
	Addresses []string
	Key       string
	// Operator names the person, for the history.
	Operator string
	// TLS is used for https addresses. Nil means the system's roots.
	TLS *tls.Config
	// Timeout bounds a call. Zero means DefaultTimeout.
	Timeout time.Duration
}

// Client calls routers. It is safe for concurrent use.
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
		Transport: &http.Transport{DialContext: dialer.DialContext, TLSClientConfig: o.TLS, ForceAttemptHTTP2: true},
	}}
}

// request is one call before an address is chosen.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

// do sends a request to the first address that answers and decodes the answer
// into a pointer. A *bytes.Buffer takes the answer as it is.
func (c *Client) do(ctx context.Context, r request, into any) error {
	if len(c.options.Addresses) == 0 {
		return wasabiridge.ErrInvalid.New("client: no address of a router is set")
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
			return wasabiridge.ErrOutcomeUnknown.Wrap(err, "client: %s gave no answer; whether the change took effect is unknown", address)
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
	// Without a way to read the body again, the transport of net/http cannot
	// send a change twice over a connection that went stale.
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

// neverConnected reports whether an error came before a connection stood, so
// that nothing can have taken effect.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func rootCause(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

func readAnswer(response *http.Response, into any) error {
	var (
		data []byte
		err  error
	)
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer)); err != nil {
		return wasabiridge.ErrOutcomeUnknown.Wrap(err, "client: the answer broke off")
	}
	if response.StatusCode != http.StatusOK {
		return readError(response, data)
	}
	if buffer, raw := into.(*bytes.Buffer); raw {
		buffer.Write(data)
		return nil
	}
	if err = json.Unmarshal(data, into); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "client: the answer is not what a router sends")
	}
	return nil
}

// errorTypes ties the codes of a router to error types.
var errorTypes = map[wasabioperator.Code]*errorx.Type{
	wasabioperator.CodeInvalid:        wasabiridge.ErrInvalid,
	wasabioperator.CodeUnauthorized:   ErrUnauthorized,
	wasabioperator.CodeNotFound:       wasabiridge.ErrNotFound,
	wasabioperator.CodeConflict:       wasabiridge.ErrConflict,
	wasabioperator.CodeUnavailable:    wasabiridge.ErrUnavailable,
	wasabioperator.CodeOutcomeUnknown: wasabiridge.ErrOutcomeUnknown,
	wasabioperator.CodeNotImplemented: ErrNotBuilt,
}

func readError(response *http.Response, data []byte) error {
	var answer wasabioperator.ErrorAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Error.Code == "" {
		return wasabiridge.ErrInvalid.New("client: HTTP status %s from something that is no router", response.Status)
	}
	kind, known := errorTypes[answer.Error.Code]
	if !known {
		return ErrRouter.New("%s", answer.Error.Message)
	}
	err := kind.New("%s", answer.Error.Message)
	if answer.Error.Theirs != nil {
		err = err.WithProperty(theirs, *answer.Error.Theirs)
	}
	return err
}
