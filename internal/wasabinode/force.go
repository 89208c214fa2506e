package wasabinode

import (
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
)

// inForce is the configuration with its backend servers. It is an immutable
// value.
type inForce struct {
	config  *wasabiridge.Config
	sharing string
}

// adopt puts what the catalog knows in force.
func (n *Node) adopt(v wasabicatalog.View) {
	if !v.ConfigKnown {
		return
	}
	cfg := withBackends(v.Snapshot.Config, v.Backends.Entries)
	before := n.inForce.Load()
	n.inForce.Store(&inForce{config: &cfg, sharing: sharingOf(cfg.Accounts)})
	n.loop.Post(wasabiridge.ConfigAdopted{Config: cfg})
	for _, named := range v.Namings {
		n.loop.Post(wasabiridge.WeightsNamed{Model: named.Model, Weights: named.Weights, At: n.namedAt(named)})
	}
	for _, e := range v.Backends.Entries {
		for _, model := range sortedModels(e.Weights) {
			n.loop.Post(wasabiridge.WeightsReported{Backend: e.Server.ID, Model: model, Weights: e.Weights[model], Incarnation: e.Server.Incarnation})
		}
	}
	n.logRestarts(before.config, &cfg)
	if before.config.Version != cfg.Version {
		n.members.SetConfig(cfg.Version)
		n.log.Info().Uint64("config_version", uint64(cfg.Version)).Int("rules", len(cfg.Rules)).Int("accounts", len(cfg.Accounts)).
			Int64("age_ms", int64(n.options.Clock.Now()-v.ConfigProven)).Msg("Configuration adopted.")
	}
}

// logRestarts tells of backend servers that started again under their names.
func (n *Node) logRestarts(before, now *wasabiridge.Config) {
	lives := map[wasabiridge.BackendServerID]wasabiridge.Incarnation{}
	for _, pool := range before.Pools {
		for _, b := range pool.Backends {
			lives[b.ID] = b.Incarnation
		}
	}
	for _, pool := range now.Pools {
		for _, b := range pool.Backends {
			if life := lives[b.ID]; life != 0 && b.Incarnation > life {
				n.log.Info().Str(wasabilog.BackendField, string(b.ID)).Uint64("incarnation", uint64(b.Incarnation)).
					Uint64("incarnation_before", uint64(life)).Msg("Backend server has restarted.")
			}
		}
	}
}

// freshStart is for how long after its start an instance that found a version
// named, and nobody who knows since when, lets older weights answer. Without
// that time nothing could be served until the first replicas are upgraded.
const freshStart = 2500 * wasabiridge.Millis(1)

// namedAt is since when a version counts as named. One of unknown age may be
// nearly due.
func (n *Node) namedAt(v wasabicatalog.Named) wasabiridge.Millis {
	if v.Witnessed {
		return v.At
	}
	return v.At - (n.bounds.WeightsLife - weightsMargin) + freshStart
}

// withBackends fills the pools with the backend servers that may get work.
func withBackends(cfg wasabiridge.Config, entries []wasabiridge.BackendEntry) wasabiridge.Config {
	byPool := map[wasabiridge.PoolID][]wasabiridge.BackendServer{}
	for _, e := range entries {
		if !e.Leaving {
			byPool[e.Pool] = append(byPool[e.Pool], e.Server)
		}
	}
	pools := make([]wasabiridge.Pool, len(cfg.Pools))
	for i, pool := range cfg.Pools {
		pool.Backends = byPool[pool.ID]
		pools[i] = pool
	}
	cfg.Pools = pools
	return cfg
}

// sharingOf names the set of accounts that share cached parts, by those that
// do not.
//
// The failure it guards against: an account becomes isolated, or stops being
// so, and requests of others find parts that it left in a cache. With every
// change of the set all accounts look under a new name.
func sharingOf(accounts []wasabiridge.ClientAccount) string {
	var isolated []string
	for _, a := range accounts {
		if a.Isolated {
			isolated = append(isolated, strconv.Quote(string(a.ID)))
		}
	}
	sort.Strings(isolated)
	return "all but " + strconv.FormatUint(xxhash.Sum64String(strings.Join(isolated, ",")), 36)
}

func sortedModels(m map[wasabiridge.ModelID]wasabiridge.WeightsVersion) []wasabiridge.ModelID {
	out := make([]wasabiridge.ModelID, 0, len(m))
	for model := range m {
		out = append(out, model)
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

// view is what the relay needs to know.
func (n *Node) view() wasabirelay.View {
	f := n.inForce.Load()
	return wasabirelay.View{Config: f.config, Proven: n.catalog.View().ConfigProven, Sharing: f.sharing}
}

// wantedWeights is what the upgrade needs to know.
func (n *Node) wantedWeights() ([]wasabiridge.BackendEntry, map[wasabiridge.ModelID]wasabiridge.WeightsVersion) {
	v := n.catalog.View()
	return v.Backends.Entries, v.Snapshot.Weights
}

// connectionShare is the part of a backend server's connections that all
// instances use. The rest is for instances that are not known here yet.
const connectionShare = 0.8

// ConnectionLimit returns how many connections this instance may have to a
// backend server, or zero for any number.
func (n *Node) ConnectionLimit(b wasabiridge.BackendServer) int {
	for _, pool := range n.inForce.Load().config.Pools {
		if pool.Connections == 0 {
			continue
		}
		for _, other := range pool.Backends {
			if other.ID == b.ID {
				instances := float64(len(n.members.Members()) + 1)
				return max(2, int(connectionShare*float64(pool.Connections)/instances))
			}
		}
	}
	return 0
}

// Observe takes what answers tell of their backend servers. News that finds
// the loop full is lost; the next answer brings newer.
func (n *Node) Observe(e wasabiridge.Event) {
	if named, ok := e.(wasabiridge.LimitNamed); ok {
		n.limits.note(named, n.options.Clock.Now())
	}
	n.loop.Observe(e)
}
