package wasabidaemon

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabimetrics"
)

// recordMalformed counts and logs a malformed response of a backend server.
func (d *Daemon) recordMalformed(e wasabiridge.ResponseMalformed) {
	d.components.metrics.Counter(wasabimetrics.ResponsesMalformed).Inc(1)
	log := wasabilog.Part(d.log, "backend")
	line := log.Warn().Str(wasabilog.RequestField, string(e.Request)).Str(wasabilog.BackendField, string(e.Backend)).
		Str("of", string(e.Part)).Str("cause", e.Cause)
	if e.Part == wasabiridge.PartEvent {
		line = line.Int("events", e.Event.Delivered).Int("bytes", e.Event.Bytes)
	}
	line.Msg("Malformed response of a backend server.")
}
