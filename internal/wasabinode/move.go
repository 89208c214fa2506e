package wasabinode

import (
	"context"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
)

const (
	// emptiedSize bounds the backend servers whose answers wait to be moved. What
	// finds it full runs to its end where it is.
	emptiedSize = 64
	// movesMost is from how many backend servers answers are moved side by side.
	movesMost = 8
)

// empty asks for the answers that run at a backend server to be moved away.
func (n *Node) empty(b wasabiridge.BackendServerID) {
	select {
	case n.emptied <- b:
	default:
	}
}

// moveAnswers moves answers away from backend servers that load weights or leave.
//
// The failure it guards against: long answers run for seconds. A server that
// loads weights waits for them, and serves nothing meanwhile; one that leaves cuts
// them.
func (n *Node) moveAnswers(ctx context.Context) {
	places := make(chan struct{}, movesMost)
	for {
		select {
		case b := <-n.emptied:
			places <- struct{}{}
			go func() {
				defer func() { <-places }()
				n.relay.MoveAway(ctx, b, n.refugeFrom(b))
			}()
		case <-ctx.Done():
			return
		}
	}
}

// refugeFrom chooses where answers go on that leave a backend server.
func (n *Node) refugeFrom(b wasabiridge.BackendServerID) wasabirelay.Refuge {
	return func(r wasabiridge.Request, w wasabiridge.WeightsVersion, not []wasabiridge.BackendServerID) (to wasabiridge.BackendServer, ok bool) {
		n.loop.Inspect(func() {
			to, ok = n.placer.Refuge(n.options.Clock.Now(), r, w, append([]wasabiridge.BackendServerID{b}, not...))
		})
		return to, ok
	}
}
