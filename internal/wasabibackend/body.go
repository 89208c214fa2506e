package wasabibackend

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/wasabiridge/wasabiridge"
)

// errBodyReleased is returned when net/http tries to send a body again after
// its memory was released.
var errBodyReleased = wasabiridge.ErrUnavailable.New("backend: cannot resend the request body: it was already released")

// requestBody is the body of a request to a backend server, and can be released
// before the request ends. net/http references a request until its response has
// been read, which would keep a long prompt in memory for as long as the stream
// lasts. It is safe for concurrent use.
type requestBody struct {
	data atomic.Pointer[[]byte]
}

func newRequestBody(data []byte) *requestBody {
	b := &requestBody{}
	b.data.Store(&data)
	return b
}

// open returns a reader over the complete body, or errBodyReleased after release.
func (b *requestBody) open() (io.ReadCloser, error) {
	data := b.data.Load()
	if data == nil {
		return nil, errBodyReleased
	}
	return &bodyReader{reader: bytes.NewReader(*data)}, nil
}

// release drops the reference to the body. It is called once the response
// header has arrived, after which the request is not sent again.
func (b *requestBody) release() { b.data.Store(nil) }

// bodyReader reads a body and drops its reference to it on Close. net/http may
// call Close during a Read, hence the lock.
type bodyReader struct {
	mu     sync.Mutex
	reader *bytes.Reader
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Read(p)
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reader.Reset(nil)
	return nil
}
