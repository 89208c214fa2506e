// Package wasabilog creates the loggers of all parts of a router. Each part marks its
// lines with a fixed name, and its messages are short sentences.
//
// Log lines must not contain prompt text, answer text or keys. Every line about a
// request must contain the request's identifier.
//
// # Usage
//
//	root := wasabilog.New(os.Stderr, "info")
//	log := wasabilog.Part(root, "gateway")
//	log.Info().Str(wasabilog.RequestField, string(id)).Msg("Request refused.")
package wasabilog

import (
	"io"
	stdlog "log"
	"strings"

	"github.com/rs/zerolog"
)

// Names of log fields that all parts share.
const (
	// RequestField is the field with the identifier of a request.
	RequestField = "request_id"
	// BackendField is the field with the identifier of a backend server.
	BackendField = "backend"
	// InstanceField is the field with the identifier of an instance.
	InstanceField = "instance"
)

// partHook is a zerolog hook that adds the name of a part to each line.
type partHook string

// Run implements zerolog.Hook.
func (p partHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("part", string(p))
}

// New returns a root logger that writes JSON lines with timestamps. The level is a
// zerolog level such as "debug"; an empty or unknown level means "info".
func New(w io.Writer, level string) zerolog.Logger {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		lvl = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(lvl).With().Timestamp().Logger()
}

// Part returns a logger whose lines contain the name of a part in the field "part".
func Part(root zerolog.Logger, name string) zerolog.Logger {
	return root.Hook(partHook(name))
}

// ServerErrors returns a logger for http.Server.ErrorLog that writes to log at debug
// level. The lines of net/http contain addresses and protocol errors, never the
// contents of requests.
func ServerErrors(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(lineWriter{log: log}, "", 0)
}

// lineWriter is an io.Writer that logs each write as one line.
type lineWriter struct {
	log zerolog.Logger
}

// Write implements io.Writer.
func (w lineWriter) Write(line []byte) (int, error) {
	w.log.Debug().Str("detail", strings.TrimSpace(string(line))).Msg("Connection failed.")
	return len(line), nil
}
