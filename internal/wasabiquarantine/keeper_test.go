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

// tableOnly lets a table take events as the decisions do.
type tableOnly struct{ table *wasabiquarantine.Table }

func (d tableOnly) Handle(now wasabiridge.Millis, e wasabiridge.Event) []wasabiridge.Effect {
	d.table.Observe(now, e)
	return nil
}

// lines takes log lines.
type lines struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// told keeps what other instances were told.
type told struct {
	mu   sync.Mutex
	news []wasabiridge.News
	// refuse is how many messages are not taken at first.
	refuse int
}

func (t *told) tell(_ context.Context, _ string, n wasabiridge.News) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refuse > 0 {
		t.refuse--
		return wasabiridge.ErrUnavailable.New("test: lost")
	}
	t.news = append(t.news, n)
	return nil
}

func (t *told) epochs() map[uint32]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint32]bool{}
	for _, n := range t.news {
		for _, c := range n.Crashes {
			out[c.Epoch] = true
		}
	}
	return out
}

// Story: an operator knows that a barred request is harmless, since what it met is
// mended. They see what is held against it and let it go; the other instances hear of
// that, although the first message to them is lost.
func TestOperatorsReleaseRequests(t *testing.T) {
	g := NewWithT(t)
	log, others := &lines{}, &told{refuse: 1}
	k := wasabiquarantine.NewKeeper(wasabiquarantine.KeeperOptions{
		Self: "i1", Clock: wasabiclock.NewVirtual(1e9), Seed: 1, Log: zerolog.New(log), Tell: others.tell,
		Members: func() []wasabiridge.Member {
			return []wasabiridge.Member{{InstanceEntry: wasabiridge.InstanceEntry{ID: "i2", PeerAddress: "a"}}}
		},
	})
	loop := wasabiloop.New(wasabiloop.Options{Decider: tableOnly{k.Table()}, Clock: wasabiclock.NewVirtual(1e9)})
	t.Cleanup(loop.Close)
	k.Join(loop)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go k.Run(ctx)
	const fingerprint = wasabiridge.Fingerprint(0xabc)
	barred := wasabiridge.CrashNews{Fingerprint: fingerprint, Account: "shop", Model: "m"}
	for i := range 3 {
		barred.Ends = append(barred.Ends, wasabiridge.ServerEnd{Backend: wasabiridge.BackendServerID(fmt.Sprint("e", i)), Ran: 50, Age: wasabiridge.Millis(1000 * (i + 1))})
	}
	k.Hear(wasabiridge.News{From: "i2", Crashes: []wasabiridge.CrashNews{barred}})
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
	g.Eventually(log.String).Should(And(ContainSubstring("Request barred."), ContainSubstring(`"from":"i2"`)))
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
	g.Eventually(others.epochs, "5s").Should(HaveKey(uint32(1)))
	g.Eventually(log.String).Should(ContainSubstring(`"why":"released"`))
	_, counts := k.Snapshot()
	g.Expect(counts.Barred).To(Equal(1))
	g.Expect(counts.Lifted).To(Equal(1))
}
