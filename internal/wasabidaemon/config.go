package wasabidaemon

import (
	"os"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// inForce is a configuration and where it came from. The zero value stands
// for none.
type inForce struct {
	config wasabiridge.Config
	// fromFile says that it came from the file that the settings name.
	// Whatever the platform or a peer has stands above it.
	fromFile bool
}

// current returns the configuration in force for the gateway.
func (d *Daemon) current() *wasabiridge.Config {
	return &d.config.Load().config
}

// Adopt puts a configuration in force. An older one than that in force is
// ignored.
func (d *Daemon) Adopt(cfg wasabiridge.Config) {
	d.adopt(&inForce{config: cfg})
}

func (d *Daemon) adopt(next *inForce) {
	for {
		now := d.config.Load()
		if next.fromFile && now.config.Version > 0 || !now.fromFile && next.config.Version <= now.config.Version {
			return
		}
		if d.config.CompareAndSwap(now, next) {
			break
		}
	}
	d.parts.loop.Post(wasabiridge.ConfigAdopted{Config: next.config})
	d.parts.intake.Watch(engines(next.config))
	if d.parts.peers.members != nil && !next.fromFile {
		d.parts.peers.members.SetConfig(next.config.Version)
	}
	d.log.Info().Uint64("version", uint64(next.config.Version)).Msg("Configuration adopted.")
}

// engines lists the model engines of all pools. A server that stands in two
// pools is listed once.
func engines(cfg wasabiridge.Config) []wasabiridge.BackendServer {
	var all []wasabiridge.BackendServer
	seen := map[wasabiridge.BackendServerID]bool{}
	for _, pool := range cfg.Pools {
		for _, b := range pool.Backends {
			if b.Kind == wasabiridge.BackendEngine && !seen[b.ID] {
				seen[b.ID] = true
				all = append(all, b)
			}
		}
	}
	return all
}

// fileGrace is how long a start waits for the platform or a peer before it
// serves by the file. The file may be older than what was accepted since it was
// written; a restart that used it at once would revert the configuration until
// the first answer of the platform. When neither answers in time, serving by
// the file goes before not serving.
const fileGrace = 75 * wasabiridge.Millis(1)

// loadConfig takes the configuration from the file that the settings name, if
// they name one.
func (d *Daemon) loadConfig() error {
	file := d.options.Settings.ConfigFile
	if file == "" {
		return nil
	}
	var text []byte
	var err error
	if text, err = os.ReadFile(file); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "daemon: configuration file")
	}
	var cfg wasabiridge.Config
	if cfg, err = wasabirule.Parse(text); err != nil {
		return err
	}
	if cfg.Version == 0 {
		cfg = cfg.WithVersion(1)
	}
	next := &inForce{config: cfg, fromFile: true}
	if d.parts.config == nil {
		d.adopt(next)
		return nil
	}
	time.AfterFunc(fileGrace.Duration(), func() { d.adoptFile(next) })
	return nil
}

// adoptFile puts the file's configuration in force when no other one came.
func (d *Daemon) adoptFile(next *inForce) {
	if d.current().Version == 0 {
		d.log.Warn().Msg("Neither platform nor peers gave a configuration in time; using the file.")
		d.adopt(next)
	}
}
