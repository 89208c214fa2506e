package wasabirelay

import (
	"math"
	"strconv"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

// logPlaced logs the placement of an attempt. All segments of the prompt but the last
// are taken as shared; the key of the last shared one is logged as part_key.
func (x *exchange) logPlaced(d wasabiridge.Dispatch) {
	shared, key := 0, uint64(0)
	root := x.request.Chain.Root
	root.Weights = d.Weights
	salt := wasabiprefix.ShortSalt(root)
	for i := range max(0, len(x.request.Chain.Lengths)-1) {
		shared += x.request.Chain.Lengths[i]
		key = wasabiprefix.SegmentKey(salt, x.request.Chain.Blocks[i])
	}
	line := x.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(x.request.ID)).
		Str(wasabilog.BackendField, string(d.Backend.ID)).
		Str("why", d.Why).
		Uint64("attempt", uint64(d.Attempt)).
		Int64("expected_ms", int64(d.ExpectedWait)).
		Int("slowness_percent", int(math.Round(100*d.Slowness))).
		Int("prompt_tokens", x.request.Chain.Tokens).
		Int("shared_tokens", shared).
		Str("part_key", strconv.FormatUint(key, 16)).
		Uint64("weights", uint64(d.Weights)).
		Str("software", string(d.Backend.Software)).
		Str("after_event", x.lastEvent).
		Str("resumes", string(x.parsed.Resumes)).
		Bool("fetch", d.ImportFrom != "").
		Bool("save", d.ExportTo != "").
		Int("priority", int(x.request.Action.Priority)).
		Int64("left_ms", int64(x.until-x.relay.options.Clock.Now())).
		Uint64("config_version", uint64(x.view.Config.Version)).
		Str("account", string(x.request.Account)).
		Str("rule", string(x.request.Rule)).
		Stringer("fingerprint", x.request.Fingerprint)
	if a := d.Allotment; a != (wasabiridge.Allotment{}) {
		line = line.Dict("allotment", zerolog.Dict().Float64("rate", a.Rate).Bool("brittle", a.Brittle).
			Int("part", a.Part).Int("used", a.Used).Int("instances", a.Instances).Int64("age_ms", int64(a.Age)))
	}
	line.Msg("Request placed.")
}

// Kinds of continued streams, for the metrics.
const (
	continuedSame     = "router, same software"
	continuedOther    = "router, other software"
	continuedByCaller = "caller"
)

// noteContinuation counts and logs that a server sent the first events of an answer that
// continues a stream.
func (x *exchange) noteContinuation(b wasabiridge.BackendServer) {
	before := x.software
	x.software = b.Software
	kind := continuedByCaller
	switch {
	case x.events > 0 && before == b.Software:
		kind = continuedSame
	case x.events > 0:
		kind = continuedOther
	case x.parsed.LastEvent == "":
		return
	}
	x.relay.counts.addContinuation(kind)
	x.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(x.request.ID)).
		Str("account", string(x.request.Account)).
		Str("resumes", string(x.parsed.Resumes)).
		Str("after_event", x.lastEvent).
		Str(wasabilog.BackendField, string(b.ID)).
		Str("software", string(b.Software)).
		Str("software_before", string(before)).
		Str("kind", kind).
		Msg("Stream continued.")
}

// partNames returns the fingerprints of the parts of a prompt.
func partNames(c wasabiridge.Chain) []string {
	var names []string
	for _, part := range wasabifingerprint.Parts(c) {
		names = append(names, part.String())
	}
	return names
}

// logFailed logs the result of an attempt that did not complete. Began says that the server
// had begun to answer.
func (x *exchange) logFailed(end wasabiridge.AttemptEnded, started wasabiridge.Millis, began bool) {
	if end.Result == wasabiridge.AttemptCompleted {
		return
	}
	line := x.relay.options.Log.Info()
	addEvidence(line.Str(wasabilog.RequestField, string(end.Request)).Stringer("result", end.Result), end.Response).
		Str(wasabilog.BackendField, string(end.Backend)).
		Bool("unsent", end.Unsent).
		Bool("unreachable", end.Unreachable).
		Bool("silent", end.FirstByteTimeout).
		Bool("overloaded", end.Overloaded).
		Bool("other_server", end.Misdirected).
		Bool("other_weights", end.OtherWeights).
		Bool("server_ended", end.ServerCrashed).
		Bool("stopped", end.Stopped).
		Str("continues_at", string(end.Moved.To.ID)).
		Stringer("framing", end.Framing).
		Int("partial_event_bytes", end.PartialEvent).
		Int("events", end.Delivered).
		Int64("took_ms", int64(x.relay.options.Clock.Now()-started)).
		Uint64("attempt", uint64(end.Attempt)).
		Stringer("fingerprint", x.request.Fingerprint)
	if end.ServerCrashed {
		line = line.Bool("began", began).Strs("parts", partNames(x.request.Chain))
	}
	line.Msg("Attempt failed.")
}

// addEvidence adds the fields of the response that ended an attempt. Operators may keep only
// the beginning of a line, so they stand right behind the result.
func addEvidence(line *zerolog.Event, e wasabiridge.ResponseEvidence) *zerolog.Event {
	return line.Int("status", e.Status).Str("identifier", string(e.Identifier)).Int("responses_before", e.Earlier).
		Int("bytes_behind", e.Behind).Str("why", e.Cause).Int("requests_before", e.Requests).Int("skipped", e.Skipped)
}

// log counts and logs the end of a request.
func (x *exchange) log(message, outcome, cause string) {
	x.outcome = outcome
	now := x.relay.options.Clock.Now()
	x.relay.counts.add(outcome, cause, now-x.arrived)
	first := wasabiridge.Millis(-1)
	if x.firstByte > 0 {
		first = x.firstByte - x.arrived
	}
	line := x.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(x.request.ID)).
		Str("outcome", outcome).
		Str("cause", cause).
		Int("attempts", x.attempts).
		Str(wasabilog.BackendField, string(x.backend))
	addEvidence(line, x.response).
		Int("answered", x.status).
		Stringer("framing", x.framing).
		Int("partial_event_bytes", x.partialEvent).
		Int("events", x.events).
		Int64("first_byte_ms", int64(first)).
		Int64("took_ms", int64(now-x.arrived)).
		Str("account", string(x.request.Account)).
		Str("rule", string(x.request.Rule)).
		Msg(message)
}

// logMalformed counts and logs how a stream ended in which a server sent an event that belongs
// to no run.
func (x *exchange) logMalformed() {
	m := x.malformed
	if m.Cause == "" {
		return
	}
	outcome := x.outcome
	if outcome == "" {
		outcome = OutcomeRefused
	}
	x.relay.counts.addMalformed(m.Cause, outcome)
	message := "Stream had an event that belongs to no run."
	if m.Doubt.Set {
		message = "Stream had an event that the router's own check of identifiers rejected."
	}
	x.relay.options.Log.Warn().
		Str(wasabilog.RequestField, string(x.request.ID)).
		Str("outcome", outcome).
		Str("cause", m.Cause).
		Str("sent_by", string(x.malformedAt)).
		Int("after", m.Delivered).
		Int("events", x.events).
		Int64("id", m.ID).
		Int64("last_id", m.LastID).
		Str(wasabilog.BackendField, string(x.backend)).
		Int("bytes", m.Bytes).
		Int("attempts", x.attempts).
		Str("rule", string(x.request.Rule)).
		Msg(message)
}

// logShare logs what the refusal of a request for the share of its account was based on.
func (x *exchange) logShare(e wasabiridge.Refuse) {
	x.relay.options.Log.Info().
		Str(wasabilog.RequestField, string(x.parsed.ID)).
		Str("account", string(x.account.ID)).
		Str("pool", string(x.request.Action.Pool)).
		Int("priority", int(x.request.Action.Priority)).
		Float64("pressure", e.Share.Pressure).
		Int64("level_ms", int64(e.Share.Level)).
		Int64("offered_ms", int64(e.Share.Offered)).
		Int("instances", e.Share.Instances).
		Int64("news_age_ms", int64(e.Share.Oldest)).
		Int64("retry_after_ms", int64(e.RetryAfter)).
		Msg("Request refused: account has used its share of the pool.")
}
