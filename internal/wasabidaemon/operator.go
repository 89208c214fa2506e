package wasabidaemon

import (
	"net/http"
	"runtime"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabimetrics"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
	"github.com/wasabiridge/wasabiridge/internal/wasabioutcome"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// serveOperators starts the server of the operators' listener and returns it, or
// nil when the listener is off. The server runs until the drain has ended, so
// that operators can watch the drain.
func (d *Daemon) serveOperators() *http.Server {
	if d.operator == nil {
		return nil
	}
	d.registerGauges()
	o := wasabioperator.Options{
		Clock:     d.options.Clock,
		KeyHashes: d.operatorKeys,
		Timeline:  d.newCollector(),
		Status:    d,
		Drainer:   d,
		Metrics:   d.components.metrics,

		Quarantine: d.components.quarantine.Handler(),
		Quotas:     d.components.quota,
		Log:        wasabilog.Part(d.log, "operator"),
	}
	if d.components.config != nil {
		o.Config = d.components.config
		o.Rollouts = d.components.rollouts
	}
	if d.components.platform.Objects != nil {
		o.Outcomes = wasabioutcome.Reader{
			Store: d.components.platform.Objects, Clock: d.options.Clock,
			Targets: func() []wasabiridge.Target { return d.current().Targets },
		}
	}
	server := d.newServer("operator", d.operator.port, wasabioperator.New(o))
	go func() { _ = server.Serve(d.operator.socket) }()
	d.log.Info().Str("url", d.operator.url).Msg("Serving operators.")
	return server
}

// operatorKeys returns the hashes of operator keys from the settings and from the
// configuration.
func (d *Daemon) operatorKeys() []string {
	hashes := d.options.Settings.Operator.KeyHashes
	return append(hashes[:len(hashes):len(hashes)], d.current().OperatorKeyHashes...)
}

func (d *Daemon) newCollector() *wasabitimeline.Collector {
	return &wasabitimeline.Collector{Own: d.components.timeline, Peers: d.peerClient(), Members: d.members}
}

// Status implements wasabiridge.StatusReader.
func (d *Daemon) Status() wasabiridge.InstanceStatus {
	s := wasabiridge.InstanceStatus{
		Instance:     d.options.Settings.Instance,
		Zone:         d.options.Settings.Zone,
		Region:       d.options.Settings.Region,
		Incarnation:  d.incarnation,
		Config:       d.current().Version,
		Started:      d.started,
		Leaving:      d.leaving.Load(),
		OpenRequests: d.components.gateway.OpenRequests(),
	}
	for _, m := range d.members() {
		s.Members = append(s.Members, wasabiridge.MemberStatus{
			Instance: m.ID, Zone: m.Zone, Incarnation: m.Incarnation,
			Config: m.Config, Suspect: m.Suspect, Leaving: m.Leaving,
		})
	}
	return s
}

// Backends implements wasabiridge.StatusReader. It returns the state last reported
// by the backend servers, without the estimates of the decision loop, such as
// adaptive limits.
func (d *Daemon) Backends() []wasabiridge.BackendStatus {
	return d.backends.list(d.current())
}

// registerGauges registers the functions that return the values of gauges.
func (d *Daemon) registerGauges() {
	gauges := map[wasabimetrics.Name]func() int64{
		wasabimetrics.RequestsOpen:      func() int64 { return int64(d.components.gateway.OpenRequests()) },
		wasabimetrics.ConfigVersion:     func() int64 { return int64(d.current().Version) },
		wasabimetrics.MembersKnown:      func() int64 { return int64(len(d.members())) },
		wasabimetrics.ConnectionsOpen:   func() int64 { open, _, _ := d.guard.Totals(); return int64(open) },
		wasabimetrics.ConnectionsBytes:  func() int64 { _, bytes, _ := d.guard.Totals(); return bytes },
		wasabimetrics.ConnectionsClosed: func() int64 { _, _, closed := d.guard.Totals(); return int64(closed) },
		wasabimetrics.HeldBytes:         func() int64 { return d.held.Counts().Held },
		wasabimetrics.HeldRefused:       func() int64 { return int64(d.held.Counts().Refused) },
		wasabimetrics.ProcessGoroutines: func() int64 { return int64(runtime.NumGoroutine()) },
	}
	for name, f := range gauges {
		if err := d.components.metrics.RegisterGauge(name, f); err != nil {
			d.log.Error().Err(err).Str("metric", string(name)).Msg("Cannot register a gauge: the metric is not defined.")
		}
	}
}
