package wasabidaemon

import (
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
	port   *wasabilistener.Port
}

// tlsBytes is what the state and the buffers of a connection with TLS take.
const tlsBytes = 40 << 10

// callerLimits returns the time limits on callers. The servers limit the size of heads.
func (d *Daemon) callerLimits() wasabilistener.Limits {
	limits := d.options.Settings.Limits.WithDefaults()
	return wasabilistener.Limits{HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// newListener opens a listener, with TLS if the settings name certificate files.
// It returns nil when no address to listen on is set.
func (d *Daemon) newListener(part string, share wasabilistener.Share, s wasabisettings.Listener) (*listener, error) {
	if s.Listen == "" {
		return nil, nil
	}
	o := wasabilistener.PortOptions{Name: part, Share: share, Limits: d.callerLimits, Secure: s.TLS != nil}
	if o.Secure {
		o.Overhead = tlsBytes
	}
	port := d.guard.Port(o)
	var socket net.Listener
	var err error
	if socket, err = port.Listen(s.Listen); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "daemon: listen on %s", s.Listen)
	}
	l := &listener{socket: socket, url: s.URL, port: port}
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
