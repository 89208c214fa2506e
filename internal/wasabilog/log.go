// Package wasabilog makes the loggers of all parts. Each part has a fixed
// prefix, and its lines are short sentences.
//
// Lines never hold prompt text, answer text or keys. Every line that concerns
// a request carries its identifier.
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

// Names of fields that every part uses alike.
const (
	// RequestField holds the identifier of a request.
	RequestField = "request_id"
	// BackendField holds the name of a backend server.
	BackendField = "backend"
	// InstanceField holds the name of an instance.
	InstanceField = "instance"
)

type prefix string

// Run puts the prefix before the message of an event.
func (p prefix) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("part", string(p))
}

// New returns a root logger that writes JSON lines. An unknown level counts
// as "info".
func New(w io.Writer, level string) zerolog.Logger {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		lvl = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(lvl).With().Timestamp().Logger()
}

// Part returns a logger whose lines carry the fixed prefix of a part.
func Part(root zerolog.Logger, name string) zerolog.Logger {
	return root.Hook(prefix(name))
}

// ServerErrors returns a logger for net/http whose lines go to log. They name
// addresses and protocol errors, never contents.
func ServerErrors(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(lineWriter{log: log}, "", 0)
}

type lineWriter struct {
	log zerolog.Logger
}

// Write logs one line.
func (w lineWriter) Write(line []byte) (int, error) {
	w.log.Debug().Str("detail", strings.TrimSpace(string(line))).Msg("Connection failed.")
	return len(line), nil
}
