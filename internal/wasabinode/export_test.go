package wasabinode

import (
	"context"

	"github.com/wasabiridge/wasabiridge"
)

// AcceptFor exports acceptFor to the tests.
var AcceptFor = acceptFor

// PublishWait exports publishWait to the tests.
var PublishWait = publishWait

// ReadRoster returns the instances that an instance finds in the table when its
// membership view holds no other.
func ReadRoster(ctx context.Context, table wasabiridge.Table) ([]wasabiridge.InstanceEntry, error) {
	r := &roster{table: table, queried: true, alone: func() bool { return true }}
	return r.Instances(ctx)
}

// ListedBackends returns how many backend servers this instance knows.
func (n *Node) ListedBackends() int { return len(n.catalog.View().Backends.Entries) }

// UsedBackends returns how many servers of a pool this instance uses.
func (n *Node) UsedBackends(pool wasabiridge.PoolID) int {
	p, _ := n.activeConfig.Load().config.Pool(pool)
	return len(p.Backends)
}
