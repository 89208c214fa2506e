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

// stalled takes nothing until it is opened.
type stalled struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stalled) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

var _ = Describe("A ring before the log", func() {
	// Story: whatever reads standard output stops. A process that writes its log
	// lines straight to it stands still with the first full pipe, and all its
	// callers with it.
	It("never blocks, and counts what it drops while its reader stands still", func() {
		out := &stalled{open: make(chan struct{})}
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

	It("loses nothing otherwise", func() {
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
