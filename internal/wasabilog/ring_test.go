package wasabilog_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestLog(t *testing.T) { wasabitest.Run(t, "log") }

// stalledWriter blocks each Write until open is closed.
type stalledWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stalledWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

var _ = Describe("A ring buffer of log lines", func() {
	// Guards against a process that blocks, with all its callers, because the program
	// that reads its standard output has stopped: without the ring buffer, writing a
	// log line blocks as soon as the pipe is full.
	It("never blocks, and counts the lines that it drops while its writer is stalled", func() {
		out := &stalledWriter{open: make(chan struct{})}
		ring := wasabilog.NewRing(out)
		log := wasabilog.Part(wasabilog.New(ring, "info"), "relay")
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 20000 {
				log.Info().Int("n", i).Msg("Line.")
			}
		}()
		Eventually(done, "10s").Should(BeClosed())
		close(out.open)
		Eventually(out.String, "5s").Should(ContainSubstring(`"n":19999`))
		Eventually(ring.Dropped).Should(BeNumerically(">", 0))
		Expect(ring.Close()).To(Succeed())
	})

	It("drops no lines while its writer keeps up", func() {
		var out strings.Builder
		ring := wasabilog.NewRing(&out)
		for range 100 {
			_, _ = io.WriteString(ring, "line\n")
			time.Sleep(time.Microsecond)
		}
		Expect(ring.Close()).To(Succeed())
		Expect(strings.Count(out.String(), "line")).To(Equal(100))
	})
})
