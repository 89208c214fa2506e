package wasabinode

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
)

// activeConfig is the configuration by which requests are handled, with the
// backend servers filled in. It is immutable.
type activeConfig struct {
	config *wasabiridge.Config
	// sharing is the result of sharingScope for the accounts of config.
	sharing string
	// pools holds the index of the pool of each backend server.
	pools map[wasabiridge.BackendServerID]int
	// parted are the pools of which this instance uses a part of the servers.
	parted map[wasabiridge.PoolID]bool
}

// poolOf returns the pool of a backend server.
func (c *activeConfig) poolOf(b wasabiridge.BackendServerID) (wasabiridge.Pool, bool) {
	i, ok := c.pools[b]
	if !ok {
		return wasabiridge.Pool{}, false
	}
	return c.config.Pools[i], true
}

// isParted reports whether there is a pool of which this instance uses a part of the servers.
func (c *activeConfig) isParted() bool {
	for _, parted := range c.parted {
		if parted {
			return true
		}
	}
	return false
}

// isPart reports whether a backend server is in such a pool, or is not used here at all.
func (c *activeConfig) isPart(b wasabiridge.BackendServerID) bool {
	pool, used := c.poolOf(b)
	return !used || c.parted[pool.ID]
}

func newActiveConfig(cfg *wasabiridge.Config) *activeConfig {
	out := &activeConfig{config: cfg, sharing: sharingScope(cfg.Accounts), pools: map[wasabiridge.BackendServerID]int{}}
	for i, pool := range cfg.Pools {
		for _, b := range pool.Backends {
			out.pools[b.ID] = i
		}
	}
	return out
}

// adopt makes the configuration and the backend servers of a catalog view the
// active ones, and posts what changed to the decision loop.
func (n *Node) adopt(v wasabicatalog.View) {
	if !v.ConfigKnown {
		return
	}
	n.adopting.Lock()
	defer n.adopting.Unlock()
	used := n.cells.apply(v.Snapshot.Config, v.Backends.Entries)
	cfg, parted, weights := used.config, used.parted, used.weights
	before := n.activeConfig.Load()
	if len(parted) > 0 && n.adopted.covers(&cfg, weights, v) {
		// The change concerns servers that this instance does not use.
		return
	}
	n.adopted = adoption{config: &cfg, weights: weights, targets: v.TargetVersions, rollouts: v.Snapshot.Rollouts}
	active := newActiveConfig(&cfg)
	active.parted = parted
	n.activeConfig.Store(active)
	n.loop.Post(wasabiridge.ConfigAdopted{Config: cfg})
	for _, target := range v.TargetVersions {
		n.loop.Post(wasabiridge.TargetWeightsSet{Model: target.Model, Weights: target.Weights, At: n.targetSetAt(target)})
	}
	for _, w := range weights {
		n.loop.Post(w)
	}
	n.loop.Post(wasabiridge.SoftwareRolloutsSet{Rollouts: v.Snapshot.Rollouts})
	n.logRestarts(before.config, &cfg)
	if before.config.Version != cfg.Version {
		n.members.SetConfig(cfg.Version)
		n.log.Info().Uint64("config_version", uint64(cfg.Version)).Int("rules", len(cfg.Rules)).Int("accounts", len(cfg.Accounts)).Str("keys", string(cfg.KeyPolicy())).
			Int64("age_ms", int64(n.options.Clock.Now()-v.ConfigConfirmedAt)).Msg("Configuration adopted.")
	}
}

// adoption is what was last made active.
type adoption struct {
	config   *wasabiridge.Config
	weights  []wasabiridge.WeightsReported
	targets  []wasabicatalog.TargetVersion
	rollouts []wasabiridge.SoftwareRollout
}

// covers reports whether a view that leads to the given configuration and weights differs from
// what is active in nothing that matters here. A read without a change of the configuration
// has the same version, since operators raise it with every change.
func (a adoption) covers(cfg *wasabiridge.Config, weights []wasabiridge.WeightsReported, v wasabicatalog.View) bool {
	if a.config == nil || a.config.Version != cfg.Version || a.config.KeyPolicy() != cfg.KeyPolicy() || !slices.Equal(a.weights, weights) || !slices.Equal(a.targets, v.TargetVersions) ||
		!slices.Equal(a.rollouts, v.Snapshot.Rollouts) {
		return false
	}
	return slices.EqualFunc(a.config.Pools, cfg.Pools, func(x, y wasabiridge.Pool) bool {
		return x.ID == y.ID && slices.Equal(x.Backends, y.Backends)
	})
}

// logRestarts logs the backend servers whose incarnation rose between two
// configurations.
func (n *Node) logRestarts(before, now *wasabiridge.Config) {
	incarnations := map[wasabiridge.BackendServerID]wasabiridge.Incarnation{}
	for _, pool := range before.Pools {
		for _, b := range pool.Backends {
			incarnations[b.ID] = b.Incarnation
		}
	}
	for _, pool := range now.Pools {
		for _, b := range pool.Backends {
			if previous := incarnations[b.ID]; previous != 0 && b.Incarnation > previous {
				n.log.Info().Str(wasabilog.BackendField, string(b.ID)).Uint64("incarnation", uint64(b.Incarnation)).
					Uint64("incarnation_before", uint64(previous)).Msg("Backend server has restarted.")
			}
		}
	}
}

// unknownAgeGrace is how long older weights still serve requests after this
// instance first read a target version that no instance saw being set. Without
// it an instance that has just started could serve nothing until the first
// replicas are upgraded.
const unknownAgeGrace = 2500 * wasabiridge.Millis(1)

// targetSetAt returns the time at which a target version of weights counts as
// set. When no instance saw it being set, the bound on older weights may be
// nearly reached, so all but unknownAgeGrace of it counts as used up.
func (n *Node) targetSetAt(v wasabicatalog.TargetVersion) wasabiridge.Millis {
	if v.Observed {
		return v.At
	}
	return v.At - (n.bounds.OldWeightsLifetime - weightsMargin) + unknownAgeGrace
}

// sharingScope names the set of accounts that share cached prefix segments. The
// name is a hash of the isolated accounts, which are not in the set.
//
// The failure it guards against: an account becomes isolated, or stops being
// isolated, and requests of other accounts hit segments that it left in a
// cache. The name enters the cache keys, so every change of the set makes the
// earlier entries unreachable to all accounts.
func sharingScope(accounts []wasabiridge.ClientAccount) string {
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

// view returns the active configuration for the relay, with the time at which
// it was last confirmed to be current.
func (n *Node) view() wasabirelay.View {
	active := n.activeConfig.Load()
	return wasabirelay.View{Config: active.config, ConfirmedAt: n.catalog.View().ConfigConfirmedAt, Sharing: active.sharing}
}

// wantedWeights returns the backend servers and the target version of each
// model's weights, for the upgrade. The list is the same while nothing changes.
func (n *Node) wantedWeights() ([]wasabiridge.BackendEntry, map[wasabiridge.ModelID]wasabiridge.WeightsVersion) {
	v := n.catalog.View()
	in := upgradeInput{config: v.Snapshot.Config.Version, entries: v.Backends.Entries, notices: n.notices.changeCount()}
	if n.upgradable.isFor(in) {
		return n.upgradable.usable, v.Snapshot.Weights
	}
	in.usable = n.notices.withLeaving(v.Usable())
	n.upgradable = in
	return in.usable, v.Snapshot.Weights
}

// upgradeInput is what the list of backend servers for the upgrade is made of, and the list.
type upgradeInput struct {
	config  wasabiridge.ConfigVersion
	entries []wasabiridge.BackendEntry
	notices uint64
	usable  []wasabiridge.BackendEntry
}

// isFor reports whether the list holds for other inputs.
func (u upgradeInput) isFor(o upgradeInput) bool {
	return u.config == o.config && u.notices == o.notices && len(u.entries) == len(o.entries) && (len(o.entries) == 0 || &u.entries[0] == &o.entries[0])
}

// accepts reports whether a backend server accepts requests of this instance, as far as
// it has stated in its answers.
func (n *Node) accepts(b wasabiridge.BackendServer) bool {
	return n.notices.accepts(b, n.options.Clock.Now())
}

// connectionShare is the fraction of a backend server's connections that the
// instances in the membership view divide between them. The rest is reserved for
// instances that are not in the view yet.
const connectionShare = 0.8

// activeConnectionParts is the inverse of the part of these connections that is for the
// instances that callers are sent to, where a pool is used in parts.
const activeConnectionParts = 2

// ConnectionLimit returns how many connections this instance may have to a
// backend server, or zero for any number.
//
// The servers of a pool that is used in parts are used by the instances of one zone. Those of
// them that callers are sent to divide half of the connections, and the others have few
// requests.
func (n *Node) ConnectionLimit(b wasabiridge.BackendServer) int {
	config := n.activeConfig.Load()
	pool, used := config.poolOf(b.ID)
	if !used || pool.Connections == 0 {
		return 0
	}
	instances := len(n.members.Members()) + 1
	if config.parted[pool.ID] && n.isActive() {
		instances = min(instances, activeConnectionParts*max(1, n.activeInZone(n.activeEntries())))
	}
	return max(2, int(connectionShare*float64(pool.Connections)/float64(instances)))
}

// Observe takes an event that was read from a response of a backend server,
// such as its load or its limit. It does not block: when the queue of the
// decision loop is full the event is dropped, and the next response brings newer
// values.
func (n *Node) Observe(e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.LimitAnnounced:
		n.limits.record(e, n.options.Clock.Now())
	case wasabiridge.UnknownAnnouncement:
		n.notices.recordUnknown(e)
		return
	case wasabiridge.ResponseMalformed:
		n.notices.recordMalformed(e)
		return
	case wasabiridge.NumberingChanged:
		n.notices.recordNumbering(e)
		return
	case wasabiridge.DoubtLifted:
		n.notices.recordLifted(e)
		return
	case wasabiridge.BrittleAnnounced:
		n.notices.recordBrittle(e, "", n.options.Clock.Now())
	case wasabiridge.PauseRequested:
		n.notices.recordPause(e, n.options.Clock.Now())
	case wasabiridge.BackendLeaving:
		n.observeLeaving(e, "")
		return
	}
	n.loop.TryPost(e)
}

// observeLeaving takes the announcement of a backend server that it is leaving, which
// arrived in an answer or, if from is not empty, from another instance.
func (n *Node) observeLeaving(e wasabiridge.BackendLeaving, from wasabiridge.InstanceID) {
	if n.notices.recordLeaving(e, from, n.options.Clock.Now()) {
		n.loop.Post(e)
	}
}
