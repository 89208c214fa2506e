package wasabibackend

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/wasabiridge/wasabiridge"
)

// errBodyGone ends a second send of a body that was let go.
var errBodyGone = wasabiridge.ErrUnavailable.New("backend: the body was let go")

// sentBody is the body of a request. Prompts are long and streams last long;
// net/http holds on to the request until the answer ends, and would keep the
// prompt with it. It is safe for concurrent use.
type sentBody struct {
	data atomic.Pointer[[]byte]
}

func newSentBody(data []byte) *sentBody {
	b := &sentBody{}
	b.data.Store(&data)
	return b
}

// open returns a reader of the whole body.
func (b *sentBody) open() (io.ReadCloser, error) {
	data := b.data.Load()
	if data == nil {
		return nil, errBodyGone
	}
	return &bodyReader{reader: bytes.NewReader(*data)}, nil
}

// release lets the body go. It is called when the answer has begun.
func (b *sentBody) release() { b.data.Store(nil) }

// bodyReader reads a body and lets it go when it is closed. net/http may close
// it while it still reads, hence the lock.
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
