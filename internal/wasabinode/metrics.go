package wasabinode

import (
	"fmt"
	"io"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
)

// writeMetrics writes counters, ages and latencies, one a line, sorted by name.
func (n *Node) writeMetrics(w io.Writer) {
	now := n.options.Clock.Now()
	v := n.catalog.View()
	reads, failed, queries := n.catalog.Calls()
	dropped := uint64(0)
	if n.options.DroppedLogLines != nil {
		dropped = n.options.DroppedLogLines()
	}
	lines := []string{
		line("requests_open", int64(n.relay.Open())),
		line("config_version", int64(v.Snapshot.Config.Version)),
		line("config_age_ms", int64(now-v.ConfigConfirmedAt)),
		line("backends_age_ms", int64(now-v.BackendsConfirmedAt)),
		line("backends_listed", int64(len(v.Backends.Entries))),
		line("members", int64(len(n.members.Members()))),
		line("platform_reads_total", int64(reads)),
		line("platform_reads_failed_total", int64(failed)),
		line("platform_reads_ignored_total", int64(n.catalog.Ignored())),
		line("platform_epoch", int64(n.catalog.Epoch())),
		line("platform_restores_total", int64(n.catalog.Restores())),
		line("config_revision", int64(wasabiridge.VersionOf(v.Snapshot.Revision))),
		line("backends_revision", int64(wasabiridge.VersionOf(v.Backends.Revision))),
		line("peers_asked_total", int64(queries)),
		line("events_dropped_total", int64(n.loop.Dropped())),
		line("log_lines_dropped_total", int64(dropped)),
	}
	for _, c := range n.relay.Counts().Summaries() {
		lines = append(lines,
			line("requests_total{outcome=\""+c.Name+"\"}", c.Total),
			line("requests_ms{outcome=\""+c.Name+"\",quantile=\"0.5\"}", c.P50),
			line("requests_ms{outcome=\""+c.Name+"\",quantile=\"0.95\"}", c.P95),
			line("requests_ms{outcome=\""+c.Name+"\",quantile=\"0.99\"}", c.P99),
		)
	}
	for cause, count := range n.catalog.IgnoredEntries() {
		lines = append(lines, line("backend_entries_ignored_total{cause=\""+cause+"\"}", int64(count)))
	}
	for cause, count := range n.relay.Counts().Causes() {
		lines = append(lines, line("requests_by_cause_total{cause=\""+cause+"\"}", int64(count)))
	}
	for _, p := range n.upgrade.Durations().Phases() {
		lines = append(lines,
			line("upgrades_total{phase=\""+p.Name+"\"}", p.Total),
			line("upgrades_ms{phase=\""+p.Name+"\",quantile=\"0.5\"}", p.P50),
			line("upgrades_ms{phase=\""+p.Name+"\",quantile=\"0.95\"}", p.P95),
		)
	}
	lines = append(lines, n.engineLines()...)
	lines = append(lines, n.speedLines(now)...)
	lines = append(lines, n.fetchLines()...)
	lines = append(lines, n.retryLines()...)
	lines = append(lines, n.limits.lines(now)...)
	lines = append(lines, n.notices.lines(now)...)
	lines = append(lines, n.reach.lines(now)...)
	lines = append(lines, n.quarantineLines()...)
	lines = append(lines, n.quotaLines()...)
	lines = append(lines, n.streamLines()...)
	lines = append(lines, n.shares.lines()...)
	lines = append(lines, n.rollouts.lines()...)
	lines = append(lines, n.heldLines()...)
	lines = append(lines, n.connectionLines()...)
	if n.strained.Load() {
		lines = append(lines, line("strained", 1))
	}
	slices.Sort(lines)
	for _, l := range lines {
		_, _ = io.WriteString(w, l)
	}
}

// engineLines returns the estimated speed of the engines, by pool and model, with
// times in microseconds.
func (n *Node) engineLines() []string {
	var estimates []wasabireplica.CostEstimate
	var refuted uint64
	n.loop.Inspect(func() { estimates, refuted = n.placer.CostEstimates(), n.placer.RefutedClaims() })
	lines := []string{line("weights_refuted_total", int64(refuted))}
	for _, l := range estimates {
		labels := "{pool=\"" + string(l.Pool) + "\",model=\"" + string(l.Model) + "\"}"
		lines = append(lines,
			line("engine_first_token_us"+labels, int64(1000*l.FirstToken)),
			line("engine_thousand_tokens_us"+labels, int64(1000*l.PerThousandTokens)),
			line("engine_answers_total"+labels, int64(l.Answers)),
			line("first_byte_overrun_percent"+labels, int64(100*l.Overrun)),
		)
	}
	return lines
}

// maxSpeedServers bounds the backend servers whose speed the metrics contain.
const maxSpeedServers = 100

// speedLines returns how long work takes at the backend servers that differ from the
// average of their pool, in percent of it.
func (n *Node) speedLines(now wasabiridge.Millis) []string {
	var speeds []wasabireplica.ServerSpeed
	n.loop.Inspect(func() { speeds = n.placer.ServerSpeeds(now) })
	lines := []string{line("servers_uneven", int64(len(speeds)))}
	for _, s := range speeds[:min(len(speeds), maxSpeedServers)] {
		labels := "{pool=\"" + string(s.Pool) + "\",backend=\"" + string(s.Backend) + "\"}"
		lines = append(lines,
			line("server_slowness_percent"+labels, int64(100*s.Slowness)),
			line("server_learned_slowness_percent"+labels, int64(100*s.Learned)),
			line("server_slowness_answers"+labels, int64(s.Answers)),
		)
		if s.Figure > 0 {
			lines = append(lines, line("server_reported_slowness_percent"+labels, int64(100*s.Figure)), line("server_reported_slowness_age_ms"+labels, int64(s.FigureAge)))
		}
	}
	return lines
}

// fetchLines returns what fetches of parts of prompts save, by pool and path, as a
// percentage of what they should save.
func (n *Node) fetchLines() []string {
	var estimates []wasabireplica.FetchEstimate
	n.loop.Inspect(func() { estimates = n.placer.FetchEstimates() })
	var lines []string
	for _, f := range estimates {
		source, path := "engine", "zone"
		if f.Stored {
			source = "store"
		}
		if f.Crossing {
			path = "between"
		}
		labels := "{pool=\"" + string(f.Pool) + "\",source=\"" + source + "\",path=\"" + path + "\"}"
		lines = append(lines,
			line("fetch_yield_percent"+labels, int64(100*f.Yield)),
			line("fetches_ordered_total"+labels, int64(f.Ordered)),
		)
	}
	return lines
}

// retryLines returns the retries that the retry budget of each pool granted and
// denied, and the number of instances by which the budget is divided.
func (n *Node) retryLines() []string {
	var retries []wasabireplica.Retries
	n.loop.Inspect(func() { retries = n.placer.Retries(n.options.Clock.Now()) })
	var lines []string
	for _, r := range retries {
		labels := "{pool=\"" + string(r.Pool) + "\"}"
		lines = append(lines,
			line("retries_granted_total"+labels, int64(r.Granted)),
			line("retries_denied_total"+labels, int64(r.Denied)),
			line("retry_instances"+labels, int64(r.Instances)),
		)
	}
	return lines
}

// quarantineLines returns the counts of requests that are suspected of crashing
// backend servers, and of those that are blocked for it.
func (n *Node) quarantineLines() []string {
	entries, counts := n.quarantine.Snapshot()
	suspects, blocked := 0, 0
	for _, e := range entries {
		if e.Blocked {
			blocked++
		} else {
			suspects++
		}
	}
	return []string{
		line("quarantine_suspects", int64(suspects)),
		line("quarantine_barred", int64(blocked)),
		line("quarantine_barred_total", int64(counts.Blocked)),
		line("quarantine_lifted_total", int64(counts.Lifted)),
		line("quarantine_refused_total", int64(counts.Refused)),
		line("quarantine_deferred_total", int64(counts.Deferred)),
		line("servers_ended_under_requests_total", int64(counts.Ends)),
	}
}

// quotaLines returns this instance's quota share, the state of the quota owners,
// and the level and use of each client account that was used here.
func (n *Node) quotaLines() []string {
	s := n.quota.Snapshot()
	lines := []string{
		line("quota_part_percent", int64(100*s.UsableShare)),
		line("quota_owners", int64(s.Owners.Members)),
		line("quota_owners_divided", int64(s.Owners.Divisor)),
		line("quota_owners_change", int64(s.Owners.Change)),
		line("quota_owners_not_agreed", int64(s.Owners.Unconfirmed)),
		line("quota_refused_total", int64(s.Counts.Refused)),
		line("quota_refused_unlogged_total", int64(s.Counts.Unlogged)),
	}
	for i, count := range s.UsageHistogram {
		lines = append(lines, line(fmt.Sprintf("quota_admitted_total{used_percent_below=\"%d\"}", 100*(i+1)/len(s.UsageHistogram)), int64(count)))
	}
	for _, e := range s.Entries {
		if e.SpentHere == 0 && e.Refused == 0 {
			continue
		}
		labels := "{account=\"" + string(e.Account) + "\"}"
		lines = append(lines, line("quota_left"+labels, int64(e.Level)), line("quota_used_here_total"+labels, int64(e.SpentHere)),
			line("quota_account_refused_total"+labels, int64(e.Refused)))
	}
	return lines
}

// heldLines returns what requests hold here, and how many were cut off or refused for it.
// There are none without a limit.
func (n *Node) heldLines() []string {
	c := n.held.Counts()
	if c.Limit == 0 {
		return nil
	}
	return []string{
		line("held_bytes", c.Held), line("held_limit_bytes", c.Limit),
		line("held_cut_total", int64(c.Cuts)), line("held_refused_total", int64(c.Refused)),
	}
}

// connectionLines returns what the connections of each listener take, and for which reasons
// they were closed.
func (n *Node) connectionLines() []string {
	var lines []string
	for _, c := range n.guard.Counts() {
		labels := "{port=\"" + c.Port + "\"}"
		lines = append(lines,
			line("connections_open"+labels, int64(c.Open)), line("connections_peak"+labels, int64(c.Peak)), line("connections_max"+labels, int64(c.MaxOpen)),
			line("connections_bytes"+labels, c.Bytes), line("connections_max_bytes"+labels, c.MaxBytes),
		)
		for reason, count := range c.Closed {
			lines = append(lines, line("connections_closed_total{port=\""+c.Port+"\",reason=\""+reason+"\"}", int64(count)))
		}
	}
	return lines
}

func line(name string, value int64) string {
	return fmt.Sprintf("wasabiridge_%s %d\n", name, value)
}
