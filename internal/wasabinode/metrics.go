package wasabinode

import (
	"fmt"
	"io"
)

// writeMetrics writes counters and ages, one a line.
func (n *Node) writeMetrics(w io.Writer) {
	counts := n.relay.Counts()
	now := n.options.Clock.Now()
	v := n.catalog.View()
	reads, failed, asked := n.catalog.Calls()
	for _, line := range []struct {
		name  string
		value int64
	}{
		{"requests_open", int64(n.relay.Open())},
		{"requests_answered", int64(counts.Answered.Load())},
		{"requests_refused", int64(counts.Refused.Load())},
		{"requests_broken", int64(counts.Broken.Load())},
		{"requests_cut", int64(counts.Cut.Load())},
		{"callers_gone", int64(counts.Gone.Load())},
		{"config_version", int64(v.Snapshot.Config.Version)},
		{"config_age_ms", int64(now - v.ConfigProven)},
		{"backends_age_ms", int64(now - v.BackendsProven)},
		{"members", int64(len(n.members.Members()))},
		{"platform_reads", int64(reads)},
		{"platform_reads_failed", int64(failed)},
		{"peers_asked", int64(asked)},
		{"events_dropped", int64(n.loop.Dropped())},
	} {
		_, _ = fmt.Fprintf(w, "wasabiridge_%s %d\n", line.name, line.value)
	}
}
