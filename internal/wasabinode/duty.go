package wasabinode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// countInterval is how often the number of instances is looked at.
	countInterval = time.Second
	// keptInterval is how often the stores of kept cache are looked for, and
	// keptTimeout how long a connection to one may take to open.
	keptInterval = time.Second
	keptTimeout  = 300 * time.Millisecond
)

// startDuties starts the goroutines of the controllers.
func (n *Node) startDuties(ctx context.Context) {
	go n.members.Run(ctx)
	go n.catalog.Run(ctx)
	go n.upgrade.Run(ctx)
	go n.countInstances(ctx)
	go n.watchKept(ctx)
	go n.share(ctx)
	go n.moveAnswers(ctx)
	go n.restore(ctx)
	go n.roster.sign(ctx, n.incarnation)
	if s, ok := n.options.Platform.Runner.(interface{ Sweep(context.Context) }); ok {
		go s.Sweep(ctx)
	}
}

// countInstances tells the decisions how many instances share the backend
// servers.
func (n *Node) countInstances(ctx context.Context) {
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	told := 0
	for {
		if count := len(n.members.Members()) + 1; count != told {
			told = count
			n.loop.Post(wasabiridge.InstancesCounted{Count: count})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// watchKept tells the decisions which stores of kept cache can be reached. An
// engine that is sent to one that cannot loses some hundred milliseconds.
func (n *Node) watchKept(ctx context.Context) {
	// The first look comes with the first configuration: an instance that has just
	// started would have a second's worth of parts computed that a store holds.
	if !n.waitFor(ctx, wasabiridge.Day, n.knowsConfig) {
		return
	}
	ticker := time.NewTicker(keptInterval)
	defer ticker.Stop()
	up := map[string]bool{}
	for {
		for _, k := range n.inForce.Load().config.KeptCaches {
			reached := reaches(ctx, k.Address)
			if was, known := up[k.Address]; !known || was != reached {
				n.log.Info().Str("address", k.Address).Bool("up", reached).Msg("Store of kept cache seen.")
			}
			up[k.Address] = reached
			n.loop.Observe(wasabiridge.KeptCacheSeen{Address: k.Address, Up: reached})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func reaches(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: keptTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	n.writeMetrics(w)
}
