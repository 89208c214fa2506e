package wasabiquarantine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
)

// tableDecider passes the loop's events to a table.
type tableDecider struct{ table *wasabiquarantine.Table }

func (d tableDecider) Handle(now wasabiridge.Millis, e wasabiridge.Event) []wasabiridge.Effect {
	d.table.Observe(now, e)
	return nil
}

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// updateRecorder records the updates that are sent to other instances.
type updateRecorder struct {
	mu      sync.Mutex
	updates []wasabiridge.StateUpdate
	// rejected is how many of the next messages are rejected.
	rejected int
}

func (t *updateRecorder) send(_ context.Context, _ string, n wasabiridge.StateUpdate) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rejected > 0 {
		t.rejected--
		return wasabiridge.ErrUnavailable.New("test: lost")
	}
	t.updates = append(t.updates, n)
	return nil
}

func (t *updateRecorder) epochs() map[uint32]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint32]bool{}
	for _, n := range t.updates {
		for _, c := range n.Crashes {
			out[c.Epoch] = true
		}
	}
	return out
}

// Guards against a release that stays with one instance: an operator lists the requests and
// releases a blocked one that is harmless after a repair. The other instances must receive
// the release although the first message is lost.
func TestOperatorsReleaseRequests(t *testing.T) {
	g := NewWithT(t)
	log, updates := &logBuffer{}, &updateRecorder{rejected: 1}
	k := wasabiquarantine.NewController(wasabiquarantine.ControllerOptions{
		Self: "i1", Clock: wasabiclock.NewVirtual(1e9), Seed: 1, Log: zerolog.New(log), Send: updates.send,
		Members: func() []wasabiridge.Member {
			return []wasabiridge.Member{{InstanceEntry: wasabiridge.InstanceEntry{ID: "i2", PeerAddress: "a"}}}
		},
	})
	loop := wasabiloop.New(wasabiloop.Options{Decider: tableDecider{k.Table()}, Clock: wasabiclock.NewVirtual(1e9)})
	t.Cleanup(loop.Close)
	k.SetLoop(loop)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go k.Run(ctx)
	const fingerprint = wasabiridge.Fingerprint(0xabc)
	blocked := wasabiridge.CrashUpdate{Fingerprint: fingerprint, Account: "shop", Model: "m"}
	for i := range 3 {
		blocked.Crashes = append(blocked.Crashes, wasabiridge.ServerCrash{Backend: wasabiridge.BackendServerID(fmt.Sprint("e", i)), RunTime: 50, Age: wasabiridge.Millis(1000 * (i + 1))})
	}
	k.Receive(wasabiridge.StateUpdate{From: "i2", Crashes: []wasabiridge.CrashUpdate{blocked}})
	server := httptest.NewServer(k.Handler())
	t.Cleanup(server.Close)
	list := func() string {
		response, err := http.Get(server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var b strings.Builder
		_ = response.Write(&b)
		return b.String()
	}
	g.Eventually(list).Should(And(ContainSubstring(`"fingerprint":"0000000000000abc"`), ContainSubstring(`"barred":true`), ContainSubstring(`"ended":["e2","e1","e0"]`)))
	g.Eventually(log.String).Should(And(ContainSubstring("Request blocked."), ContainSubstring(`"from":"i2"`)))
	release := func(fingerprint string) int {
		r, err := http.NewRequest(http.MethodDelete, server.URL+"/"+fingerprint, nil)
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		return response.StatusCode
	}
	g.Expect(release("nonsense")).To(Equal(http.StatusBadRequest))
	g.Expect(release("def")).To(Equal(http.StatusNotFound))
	g.Expect(release(fingerprint.String())).To(Equal(http.StatusNoContent))
	g.Eventually(list).ShouldNot(ContainSubstring("abc"))
	g.Eventually(updates.epochs, "5s").Should(HaveKey(uint32(1)))
	g.Eventually(log.String).Should(ContainSubstring(`"why":"released"`))
	_, counts := k.Snapshot()
	g.Expect(counts.Blocked).To(Equal(1))
	g.Expect(counts.Lifted).To(Equal(1))
}
