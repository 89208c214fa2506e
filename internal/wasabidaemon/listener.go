package wasabidaemon

import (
	"context"
	"crypto/tls"
	"net"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitls"
)

// listener is an open socket and the URL at which clients reach it.
type listener struct {
	socket net.Listener
	url    string
}

// newListener opens a listener, with TLS if the settings name certificate files.
// It returns nil when no address to listen on is set.
func (d *Daemon) newListener(part string, s wasabisettings.Listener) (*listener, error) {
	if s.Listen == "" {
		return nil, nil
	}
	var socket net.Listener
	var err error
	if socket, err = new(net.ListenConfig).Listen(context.Background(), "tcp", s.Listen); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "daemon: listen on %s", s.Listen)
	}
	socket = wasabilistener.New(socket)
	l := &listener{socket: socket, url: s.URL}
	if l.url == "" || strings.HasSuffix(l.url, ":0") {
		l.url = "http://" + socket.Addr().String()
	}
	if s.TLS == nil {
		return l, nil
	}
	l.url = strings.Replace(l.url, "http://", "https://", 1)
	var controller *wasabitls.CertReloader
	controller, err = wasabitls.New(wasabitls.Options{
		Files: *s.TLS, Clock: d.options.Clock, Log: wasabilog.Part(d.log, part), Protocols: []string{"h2", "http/1.1"},
	})
	if err != nil {
		l.close()
		return nil, err
	}
	l.socket = tls.NewListener(socket, controller.Config())
	return l, nil
}

func (l *listener) close() {
	if l != nil {
		_ = l.socket.Close()
	}
}
