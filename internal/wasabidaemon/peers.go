package wasabidaemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"os"
	"sync/atomic"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitls"
)

// peers holds the connections to the other instances and the membership view.
// Its pointers are nil without a peer listener.
type peers struct {
	client  *wasabipeer.Client
	server  *wasabipeer.Server
	members *wasabimember.Controller
	// secret is shared by all instances. It authenticates peers and tickets.
	secret []byte
	// ready is set when all components exist that handle requests of peers.
	ready atomic.Bool
}

// setUpPeers opens the peer listener and creates the membership controller. Without a
// peer listener the membership view stays empty.
func (d *Daemon) setUpPeers() error {
	s := d.options.Settings
	if s.Peer.Listen == "" {
		return nil
	}
	var o wasabipeer.Options
	var err error
	if o, err = d.peerOptions(); err != nil {
		return err
	}
	p := &d.components.peers
	p.secret = o.Key
	if p.client, err = wasabipeer.NewClient(o); err != nil {
		return err
	}
	o.Listen = d.guard.Port(wasabilistener.PortOptions{Name: "peer", Share: d.ports.Peer, Limits: d.callerLimits, Overhead: wasabipeer.ConnectionBytes, Opaque: true}).Listen
	if p.server, err = wasabipeer.Listen(s.Peer.Listen, peerHandler{daemon: d}, o); err != nil {
		return err
	}
	p.members = wasabimember.NewController(wasabimember.ControllerOptions{
		Self:              d.self(),
		Incarnation:       d.incarnation,
		Seed:              d.seed,
		Clock:             d.options.Clock,
		List:              &seedList{platform: d.components.platform.Instances, seeds: s.Peer.Seeds},
		Peers:             p.client,
		Log:               wasabilog.Part(d.log, "member"),
		Recorder:          d.components.timeline,
		OnReceive:         d.receiveMember,
		OnBackendsLeaving: d.receiveLeaving,
		HybridNow:         d.components.timeline.Now,
		ObserveHybrid:     d.components.timeline.Observe,
	})
	return nil
}

// seedList returns the platform's list of instances, or the seeds of the settings
// until that list has been read once. With the seeds, an instance that starts
// while the platform is down finds its peers and receives the configuration from
// them.
type seedList struct {
	platform wasabiridge.InstanceList
	seeds    []wasabisettings.Seed
	// listRead is set once the platform's list has been read.
	listRead bool
}

// Instances implements wasabiridge.InstanceList. It is not safe for concurrent
// use.
func (l *seedList) Instances(ctx context.Context) ([]wasabiridge.InstanceEntry, error) {
	var entries []wasabiridge.InstanceEntry
	var err error = wasabiridge.ErrUnavailable.New("daemon: no service that lists the instances is configured")
	if l.platform != nil {
		entries, err = l.platform.Instances(ctx)
	}
	if err == nil {
		l.listRead = true
		return entries, nil
	}
	if l.listRead || len(l.seeds) == 0 {
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
			return o, wasabiridge.ErrInvalid.Wrap(err, "daemon: cannot read the peer secret file")
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
	certificates, err := wasabitls.New(wasabitls.Options{
		Files: *d.options.Settings.Peer.TLS, Clock: d.options.Clock, Log: wasabilog.Part(d.log, "peer"),
	})
	if err != nil {
		return nil, err
	}
	return certificates.MutualConfig(), nil
}

// peerAddress returns the address at which other instances reach this one, or the
// empty string without a peer listener.
func (d *Daemon) peerAddress() string {
	if address := d.options.Settings.Peer.Address; address != "" && address != d.options.Settings.Peer.Listen {
		return address
	}
	if d.components.peers.server == nil {
		return ""
	}
	return d.components.peers.server.Address()
}

// receiveMember passes the state that another instance announced of itself to the
// configuration controller. It must not block.
func (d *Daemon) receiveMember(m wasabiridge.Member) {
	if d.components.config != nil {
		d.components.config.Receive(m)
	}
}

// receiveLeaving notifies the decision loop of backend servers that other
// instances report as leaving. A notification is dropped when the loop's queue is
// full; the load reports that this instance polls contain the same information.
func (d *Daemon) receiveLeaving(backends []wasabiridge.BackendServerID) {
	for _, b := range backends {
		d.components.loop.TryPost(wasabiridge.BackendLeaving{Backend: b})
	}
}

// announceLeaving announces a leaving backend server to the other instances, so
// that those that receive its load reports later also stop sending to it.
func (d *Daemon) announceLeaving(e wasabiridge.Event) {
	if leaving, ok := e.(wasabiridge.BackendLeaving); ok && d.components.peers.members != nil {
		d.components.peers.members.LeavingBackends(leaving.Backend)
	}
}

// peerClient returns the client for calls to other instances, or a nil interface
// without a peer listener.
func (d *Daemon) peerClient() wasabiridge.PeerClient {
	if d.components.peers.client == nil {
		return nil
	}
	return d.components.peers.client
}

// members returns the other instances in the membership view.
func (d *Daemon) members() []wasabiridge.Member {
	switch {
	case d.options.Members != nil:
		return d.options.Members()
	case d.components.peers.members != nil:
		return d.components.peers.members.Members()
	}
	return nil
}

// locate returns the peer address of another instance, and whether the instance is
// known.
func (d *Daemon) locate(id wasabiridge.InstanceID) (string, bool) {
	if d.components.peers.members == nil {
		return "", false
	}
	return d.components.peers.members.PeerAddress(id)
}

// membership implements wasabiconfig.Membership over the daemon's membership view.
type membership struct {
	daemon *Daemon
}

// Members implements wasabiconfig.Membership.
func (m membership) Members() []wasabiridge.Member { return m.daemon.members() }

// Announce implements wasabiconfig.Membership.
func (m membership) Announce(n int) {
	if members := m.daemon.components.peers.members; members != nil {
		members.Announce(n)
	}
}

// close closes the peer server and the peer client.
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

// peerHandler handles the requests of other instances by passing them to the
// components of this one.
type peerHandler struct {
	daemon *Daemon
}

var (
	_ wasabiridge.PeerHandler    = peerHandler{}
	_ wasabiridge.CatalogHandler = peerHandler{}
)

var errNotReady = wasabiridge.ErrUnavailable.New("daemon: the instance is not ready, or the component is not configured")

func (h peerHandler) ready() bool {
	return h.daemon.components.peers.ready.Load()
}

// HandleExchange implements wasabiridge.PeerHandler.
func (h peerHandler) HandleExchange(ctx context.Context, b wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	if !h.ready() {
		return wasabiridge.Heartbeat{}, errNotReady
	}
	return h.daemon.components.peers.members.HandleExchange(ctx, b)
}

// HandleFetchConfig implements wasabiridge.PeerHandler.
func (h peerHandler) HandleFetchConfig(ctx context.Context) (wasabiridge.ConfigDocument, error) {
	if !h.ready() || h.daemon.components.config == nil {
		return wasabiridge.ConfigDocument{}, errNotReady
	}
	return h.daemon.components.config.HandleFetchConfig(ctx)
}

// HandleQueryTimeline implements wasabiridge.PeerHandler.
func (h peerHandler) HandleQueryTimeline(_ context.Context, q wasabiridge.TimelineQuery) (wasabiridge.TimelinePage, error) {
	if !h.ready() {
		return wasabiridge.TimelinePage{}, errNotReady
	}
	return h.daemon.components.timeline.Page(q), nil
}

// HandleClaim implements wasabiridge.PeerHandler.
func (h peerHandler) HandleClaim(ctx context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	if !h.ready() || h.daemon.components.claims == nil {
		return wasabiridge.ClaimOutcome{}, errNotReady
	}
	return h.daemon.components.claims.HandleClaim(ctx, q)
}

// HandleFinishClaim implements wasabiridge.PeerHandler.
func (h peerHandler) HandleFinishClaim(ctx context.Context, r wasabiridge.ClaimResult) error {
	if !h.ready() || h.daemon.components.claims == nil {
		return errNotReady
	}
	return h.daemon.components.claims.HandleFinishClaim(ctx, r)
}

// HandleQueryCatalog implements wasabiridge.CatalogHandler. It always returns
// errNotReady: a daemon has no catalog of its own, because the statements of
// operators and of the platform are distributed with the configuration.
func (h peerHandler) HandleQueryCatalog(context.Context, wasabiridge.CatalogQuery) (wasabiridge.CatalogResponse, error) {
	return wasabiridge.CatalogResponse{}, errNotReady
}

// HandleSendUpdate implements wasabiridge.CatalogHandler.
func (h peerHandler) HandleSendUpdate(_ context.Context, n wasabiridge.StateUpdate) error {
	if !h.ready() {
		return errNotReady
	}
	h.daemon.components.quarantine.Receive(n)
	h.daemon.components.quota.Receive(n)
	return nil
}
