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

// serveOperators serves the operators' listener, if there is one. It goes on
// while the daemon leaves, so that operators can watch it.
func (d *Daemon) serveOperators() *http.Server {
	if d.operator == nil {
		return nil
	}
	d.setGauges()
	o := wasabioperator.Options{
		Clock:     d.options.Clock,
		KeyHashes: d.operatorKeys,
		Timeline:  d.newCollector(),
		Status:    d,
		Drainer:   d,
		Metrics:   d.parts.metrics,

		Quarantine: d.parts.quarantine.Handler(),
		Quotas:     d.parts.quota,
		Log:        wasabilog.Part(d.log, "operator"),
	}
	if d.parts.config != nil {
		o.Config = d.parts.config
		o.Rollouts = d.parts.rollouts
	}
	if d.parts.platform.Objects != nil {
		o.Outcomes = wasabioutcome.Reader{
			Store: d.parts.platform.Objects, Clock: d.options.Clock,
			Targets: func() []wasabiridge.Target { return d.current().Targets },
		}
	}
	server := d.newServer("operator", wasabioperator.New(o))
	go func() { _ = server.Serve(d.operator.socket) }()
	d.log.Info().Str("url", d.operator.url).Msg("Serving operators.")
	return server
}

// operatorKeys returns the hashes of the settings and of the configuration.
func (d *Daemon) operatorKeys() []string {
	own := d.options.Settings.Operator.KeyHashes
	return append(own[:len(own):len(own)], d.current().OperatorKeyHashes...)
}

func (d *Daemon) newCollector() *wasabitimeline.Collector {
	return &wasabitimeline.Collector{Own: d.parts.timeline, Peers: d.peerClient(), Members: d.members}
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
		OpenRequests: d.parts.gateway.Open(),
	}
	for _, m := range d.members() {
		s.Members = append(s.Members, wasabiridge.MemberStatus{
			Instance: m.ID, Zone: m.Zone, Incarnation: m.Incarnation,
			Config: m.Config, Suspect: m.Suspect, Leaving: m.Leaving,
		})
	}
	return s
}

// Backends implements wasabiridge.StatusReader. It shows what the servers last
// said; what the decisions learned of them, such as limits, is not in it.
func (d *Daemon) Backends() []wasabiridge.BackendStatus {
	return d.board.list(d.current())
}

// setGauges tells the metrics whom to ask.
func (d *Daemon) setGauges() {
	gauges := map[wasabimetrics.Name]func() int64{
		wasabimetrics.RequestsOpen:    func() int64 { return int64(d.parts.gateway.Open()) },
		wasabimetrics.ConfigVersion:   func() int64 { return int64(d.current().Version) },
		wasabimetrics.MembersKnown:    func() int64 { return int64(len(d.members())) },
		wasabimetrics.ProcessRoutines: func() int64 { return int64(runtime.NumGoroutine()) },
	}
	for name, f := range gauges {
		if err := d.parts.metrics.GaugeFunc(name, f); err != nil {
			d.log.Error().Err(err).Str("metric", string(name)).Msg("Metric is not defined.")
		}
	}
}
