package wasabihead

import (
	"io"
	"net/http"
)

// Transport returns a transport that passes requests to another one and checks the responses. It
// returns an error of type ErrMalformed in place of a response whose head is malformed, and from
// reads at the end of a body whose trailer is. Nil means http.DefaultTransport.
//
// The other transport has parsed a head before, so two things are not seen that RFC 9112 lets a
// reader accept: a line that was folded, which is joined by a blank (section 5.2), and further
// blanks before a status (section 4).
func Transport(base http.RoundTripper) http.RoundTripper {
	if base == nil {
		base = http.DefaultTransport
	}
	return transport{base}
}

type transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err = Check(response); err != nil {
		// The transport closes a connection whose response was not read to its end.
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = body{ReadCloser: response.Body, response: response}
	return response, nil
}

// CloseIdleConnections closes those of the other transport. Clients of net/http call it.
func (t transport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// Check checks the head of a response that was parsed. Its error is of type ErrMalformed.
func Check(response *http.Response) error {
	switch text := response.Status; {
	case response.ProtoMajor != 1 && (response.ProtoMajor != 2 || response.TLS == nil):
		return ErrMalformed.New("head: version %q is neither HTTP/1 nor HTTP/2 over TLS", response.Proto)
	case text == "" || !isDigit(text[0]) || !isFinal(response.StatusCode):
		return ErrMalformed.New("head: status %q is outside the protocol", text)
	case hasControl(text):
		return ErrMalformed.New("head: control byte in status %q", text)
	}
	return CheckFields(response.Header)
}

// body is a response body that checks its trailer.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failed := CheckFields(b.response.Trailer); failed != nil {
		return n, failed
	}
	return n, err
}
