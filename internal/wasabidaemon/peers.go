package wasabidaemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"os"
	"sync/atomic"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitls"
)

// peers joins this instance to the others.
type peers struct {
	client  *wasabipeer.Client
	server  *wasabipeer.Server
	members *wasabimember.Keeper
	// secret is what all instances share. It authenticates tickets too.
	secret []byte
	// ready is set when the parts behind the server are there.
	ready atomic.Bool
}

// joinPeers opens the peer listener and sets up the membership. Without a
// listener this instance knows no other.
func (d *Daemon) joinPeers() error {
	s := d.options.Settings
	if s.Peer.Listen == "" {
		return nil
	}
	var o wasabipeer.Options
	var err error
	if o, err = d.peerOptions(); err != nil {
		return err
	}
	p := &d.parts.peers
	p.secret = o.Key
	if p.client, err = wasabipeer.NewClient(o); err != nil {
		return err
	}
	if p.server, err = wasabipeer.Listen(s.Peer.Listen, peerHandler{daemon: d}, o); err != nil {
		return err
	}
	p.members = wasabimember.NewKeeper(wasabimember.KeeperOptions{
		Self:              d.self(),
		Incarnation:       d.incarnation,
		Seed:              d.seed,
		Clock:             d.options.Clock,
		List:              &seedList{platform: d.parts.platform.Instances, seeds: s.Peer.Seeds},
		Peers:             p.client,
		Log:               wasabilog.Part(d.log, "member"),
		Recorder:          d.parts.timeline,
		OnHeard:           d.heardMember,
		OnBackendsLeaving: d.heardLeaving,
		HybridNow:         d.parts.timeline.Now,
		ObserveHybrid:     d.parts.timeline.Observe,
	})
	return nil
}

// seedList is the platform's list of instances, with the seeds of the settings
// in its place until it was read once. An instance that starts while the
// platform is down finds the others, and so the configuration, through them.
type seedList struct {
	platform wasabiridge.InstanceList
	seeds    []wasabisettings.Seed
	wasRead  bool
}

// Instances implements wasabiridge.InstanceList for one goroutine.
func (l *seedList) Instances(ctx context.Context) ([]wasabiridge.InstanceEntry, error) {
	var entries []wasabiridge.InstanceEntry
	var err error = wasabiridge.ErrUnavailable.New("daemon: no list of instances")
	if l.platform != nil {
		entries, err = l.platform.Instances(ctx)
	}
	if err == nil {
		l.wasRead = true
		return entries, nil
	}
	if l.wasRead || len(l.seeds) == 0 {
		return nil, err
	}
	for _, seed := range l.seeds {
		entries = append(entries, wasabiridge.InstanceEntry{ID: seed.Instance, PeerAddress: seed.Address})
	}
	return entries, nil
}

func (d *Daemon) peerOptions() (wasabipeer.Options, error) {
	s := d.options.Settings.Peer
	o := wasabipeer.Options{Clock: d.options.Clock}
	var err error
	if s.SecretFile != "" {
		if o.Key, err = os.ReadFile(s.SecretFile); err != nil {
			return o, wasabiridge.ErrInvalid.Wrap(err, "daemon: secret of the instances")
		}
		o.Key = bytes.TrimSpace(o.Key)
	}
	if s.TLS == nil {
		return o, nil
	}
	o.TLS, err = d.peerTLS()
	return o, err
}

func (d *Daemon) peerTLS() (*tls.Config, error) {
	keeper, err := wasabitls.New(wasabitls.Options{
		Files: *d.options.Settings.Peer.TLS, Clock: d.options.Clock, Log: wasabilog.Part(d.log, "peer"),
	})
	if err != nil {
		return nil, err
	}
	return keeper.Mutual(), nil
}

// peerAddress returns where other instances reach this one.
func (d *Daemon) peerAddress() string {
	if address := d.options.Settings.Peer.Address; address != "" && address != d.options.Settings.Peer.Listen {
		return address
	}
	if d.parts.peers.server == nil {
		return ""
	}
	return d.parts.peers.server.Address()
}

// heardMember takes what another instance says of itself. It must not block.
func (d *Daemon) heardMember(m wasabiridge.Member) {
	if d.parts.config != nil {
		d.parts.config.Heard(m)
	}
}

// heardLeaving takes the names of backend servers that other instances saw
// leaving. News that finds the loop full is lost; the own load reports follow.
func (d *Daemon) heardLeaving(backends []wasabiridge.BackendServerID) {
	for _, b := range backends {
		d.parts.loop.Observe(wasabiridge.BackendLeaving{Backend: b})
	}
}

// tellLeaving hands on which backend server is leaving, so that instances whose
// reports of it come late stop sending to it too.
func (d *Daemon) tellLeaving(e wasabiridge.Event) {
	if left, ok := e.(wasabiridge.BackendLeaving); ok && d.parts.peers.members != nil {
		d.parts.peers.members.LeavingBackends(left.Backend)
	}
}

// peerClient returns what calls other instances, or nil when there is none.
func (d *Daemon) peerClient() wasabiridge.PeerClient {
	if d.parts.peers.client == nil {
		return nil
	}
	return d.parts.peers.client
}

// members returns the other instances.
func (d *Daemon) members() []wasabiridge.Member {
	switch {
	case d.options.Members != nil:
		return d.options.Members()
	case d.parts.peers.members != nil:
		return d.parts.peers.members.Members()
	}
	return nil
}

// locate returns the peer address of another instance.
func (d *Daemon) locate(id wasabiridge.InstanceID) (string, bool) {
	if d.parts.peers.members == nil {
		return "", false
	}
	return d.parts.peers.members.Locate(id)
}

// membership tells the keeper of the configuration about other instances.
type membership struct {
	daemon *Daemon
}

// Members implements wasabiconfig.Membership.
func (m membership) Members() []wasabiridge.Member { return m.daemon.members() }

// Announce implements wasabiconfig.Membership.
func (m membership) Announce(n int) {
	if members := m.daemon.parts.peers.members; members != nil {
		members.Announce(n)
	}
}

// close ends the exchange with other instances.
func (p *peers) close() {
	if p.server != nil {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		_ = p.server.Close(ctx)
	}
	if p.client != nil {
		_ = p.client.Close()
	}
}

// peerHandler answers other instances with the parts of this one.
type peerHandler struct {
	daemon *Daemon
}

var (
	_ wasabiridge.PeerHandler    = peerHandler{}
	_ wasabiridge.CatalogHandler = peerHandler{}
)

var errNotReady = wasabiridge.ErrUnavailable.New("daemon: not ready yet")

func (h peerHandler) ready() bool {
	return h.daemon.parts.peers.ready.Load()
}

// HandleExchange implements wasabiridge.PeerHandler.
func (h peerHandler) HandleExchange(ctx context.Context, b wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	if !h.ready() {
		return wasabiridge.Heartbeat{}, errNotReady
	}
	return h.daemon.parts.peers.members.HandleExchange(ctx, b)
}

// HandleFetchConfig implements wasabiridge.PeerHandler.
func (h peerHandler) HandleFetchConfig(ctx context.Context) (wasabiridge.ConfigDocument, error) {
	if !h.ready() || h.daemon.parts.config == nil {
		return wasabiridge.ConfigDocument{}, errNotReady
	}
	return h.daemon.parts.config.HandleFetchConfig(ctx)
}

// HandleQueryTimeline implements wasabiridge.PeerHandler.
func (h peerHandler) HandleQueryTimeline(_ context.Context, q wasabiridge.TimelineQuery) (wasabiridge.TimelinePage, error) {
	if !h.ready() {
		return wasabiridge.TimelinePage{}, errNotReady
	}
	return h.daemon.parts.timeline.Page(q), nil
}

// HandleClaim implements wasabiridge.PeerHandler.
func (h peerHandler) HandleClaim(ctx context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	if !h.ready() || h.daemon.parts.claims == nil {
		return wasabiridge.ClaimOutcome{}, errNotReady
	}
	return h.daemon.parts.claims.HandleClaim(ctx, q)
}

// HandleFinishClaim implements wasabiridge.PeerHandler.
func (h peerHandler) HandleFinishClaim(ctx context.Context, r wasabiridge.ClaimResult) error {
	if !h.ready() || h.daemon.parts.claims == nil {
		return errNotReady
	}
	return h.daemon.parts.claims.HandleFinishClaim(ctx, r)
}

// HandleAskCatalog implements wasabiridge.CatalogHandler. What operators and the platform
// say goes with the configuration.
func (h peerHandler) HandleAskCatalog(context.Context, wasabiridge.CatalogQuery) (wasabiridge.CatalogAnswer, error) {
	return wasabiridge.CatalogAnswer{}, errNotReady
}

// HandleTellNews implements wasabiridge.CatalogHandler.
func (h peerHandler) HandleTellNews(_ context.Context, n wasabiridge.News) error {
	if !h.ready() {
		return errNotReady
	}
	h.daemon.parts.quarantine.Hear(n)
	h.daemon.parts.quota.Hear(n)
	return nil
}
