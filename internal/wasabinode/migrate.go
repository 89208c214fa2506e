package wasabinode

import (
	"context"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// migrationQueueSize bounds the backend servers whose requests wait for migration.
	// When the queue is full, the requests run to completion where they are.
	migrationQueueSize = 64
	// maxMigrations bounds the backend servers from which requests are migrated at the
	// same time.
	maxMigrations = 8
)

// queueMigration queues a backend server whose in-flight requests are to be migrated to
// other servers. It does not block.
func (n *Node) queueMigration(b wasabiridge.BackendServerID) {
	select {
	case n.migrationQueue <- b:
	default:
	}
}

// migrateRequests migrates in-flight requests away from backend servers that load weights
// or leave.
//
// The failure it guards against: long requests run for seconds. A server that loads
// weights waits for them and serves nothing meanwhile; a server that leaves aborts them.
func (n *Node) migrateRequests(ctx context.Context) {
	slots := make(chan struct{}, maxMigrations)
	for {
		select {
		case b := <-n.migrationQueue:
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				n.relay.MigrateAnswers(ctx, b, n.selectMigrationTarget)
			}()
		case <-ctx.Done():
			return
		}
	}
}

// selectMigrationTarget implements wasabirelay.TargetSelector.
func (n *Node) selectMigrationTarget(r wasabiridge.Request, from wasabiridge.Dispatch, excluded []wasabiridge.BackendServerID) (to wasabiridge.BackendServer, ok bool) {
	n.loop.Inspect(func() {
		to, ok = n.placer.MigrationTarget(n.options.Clock.Now(), r, from.Backend, from.Weights, excluded)
	})
	return to, ok
}
