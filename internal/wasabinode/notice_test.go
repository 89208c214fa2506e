package wasabinode

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
)

// Guards against metrics that grow with every server that has ever left.
func TestMetricsShowLeavingServersBriefly(t *testing.T) {
	g := NewWithT(t)
	var n notices
	n.recordLeaving(wasabiridge.BackendLeaving{Backend: "e1"}, "", 1000)
	leaving := ContainElement("wasabiridge_server_leaving_ms{backend=\"e1\"} 5000\n")
	g.Expect(n.lines(6000)).To(leaving)
	g.Expect(n.lines(1000 + 2*wasabiridge.Minute)).NotTo(ContainElement(ContainSubstring("e1")))
	n.recordLeaving(wasabiridge.BackendLeaving{Backend: "e1"}, "", 5000)
	g.Expect(n.lines(6000)).To(leaving)
}

// Guards against log lines and counters without bound when a server sends many headers
// of unknown meaning.
func TestUnknownAnnouncementsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var n notices
	for i := range 1000 {
		n.recordUnknown(wasabiridge.UnknownAnnouncement{Backend: "e1", Name: string(rune('a' + i))})
	}
	g.Expect(n.unknown).To(HaveLen(maxUnknownNames))
}

// Guards against an announcement that is lost on its way to the other instances, and
// against one that is sent for ever.
func TestLeavingIsSentThreeTimes(t *testing.T) {
	g := NewWithT(t)
	var n notices
	n.recordLeaving(wasabiridge.BackendLeaving{Backend: "own", Incarnation: 7}, "", 1000)
	n.recordLeaving(wasabiridge.BackendLeaving{Backend: "received"}, "i2", 1000)
	var sentAt []wasabiridge.Millis
	for now := wasabiridge.Millis(1000); now < 20000; now += 100 {
		for _, u := range n.takeLeaving(now) {
			g.Expect(u).To(Equal(wasabiridge.LeavingUpdate{Backend: "own", Incarnation: 7}))
			sentAt = append(sentAt, now)
		}
	}
	g.Expect(sentAt).To(Equal([]wasabiridge.Millis{1000, 2000, 3000}))
}

// Guards against metrics that show a limit which is not in force any more.
func TestMetricsShowCurrentLimits(t *testing.T) {
	g := NewWithT(t)
	l := serverLimits{byServer: map[wasabiridge.BackendServerID]serverLimit{}}
	l.record(wasabiridge.LimitAnnounced{Backend: "e1", Limited: true, Rate: 2, RequestSentAt: 900}, 1000)
	g.Expect(l.lines(2000)).To(HaveLen(1))
	g.Expect(l.lines(1000 + 11*wasabiridge.Second)).To(BeEmpty())
}

// Guards against malformed responses that no operator can see.
func TestMalformedResponsesAreCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	n := notices{log: zerolog.New(&out)}
	for _, part := range []wasabiridge.ResponsePart{wasabiridge.PartHead, wasabiridge.PartEvent, wasabiridge.PartHead} {
		n.recordMalformed(wasabiridge.ResponseMalformed{Backend: "e1", Request: "r1", Part: part, Cause: "c"})
	}
	g.Expect(n.lines(0)).To(ContainElement("wasabiridge_server_responses_malformed_total{part=\"head\"} 2\n"))
	g.Expect(n.lines(0)).To(ContainElement("wasabiridge_server_responses_malformed_total{part=\"event\"} 1\n"))
	g.Expect(strings.Count(out.String(), `"request_id":"r1","backend":"e1"`)).To(Equal(3))
}

// Guards against streams cut by the router's own check that look like malformed ones of a server.
func TestDoubtedStreamsAreShownApart(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	n := notices{log: zerolog.New(&out)}
	evidence := wasabiridge.NumberingEvidence{Score: 8, Servers: 6, Skipping: 2, Doubted: 3}
	n.recordMalformed(wasabiridge.ResponseMalformed{
		Request: "q1", Backend: "e1", Part: wasabiridge.PartEvent, Cause: "id skips others near the end",
		Event: wasabiridge.MalformedEvent{Delivered: 9, LastID: 9, ID: 12, Doubt: wasabiridge.Doubt{Set: true, NumberingEvidence: evidence}},
	})
	g.Expect(out.String()).To(And(ContainSubstring("router's own check"), ContainSubstring(`"request_id":"q1","backend":"e1","last_id":9,"id":12,"score":8,"servers":6,"skipping":2,"doubted":3,"distrusted":false`)))
	out.Reset()
	n.recordNumbering(wasabiridge.NumberingChanged{Pool: "lm", Request: "q2", Skips: true, Evidence: evidence})
	g.Expect(out.String()).To(And(ContainSubstring("Numbering of events has changed."), ContainSubstring(`"pool":"lm"`), ContainSubstring(`"skips":true`)))
	lines := strings.Join(n.lines(1000), "")
	g.Expect(lines).To(And(ContainSubstring("streams_doubted_total 1"), ContainSubstring("event_numbering_changes_total 1"), Not(ContainSubstring("responses_malformed_total"))))
}
