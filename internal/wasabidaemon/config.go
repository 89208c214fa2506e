package wasabidaemon

import (
	"os"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// adoptedConfig is a configuration and its source. The zero value means that no
// configuration has been adopted.
type adoptedConfig struct {
	config wasabiridge.Config
	// fromFile is set for the configuration from the file named in the settings.
	// Every configuration from the platform or from a peer replaces it,
	// whatever their versions.
	fromFile bool
}

// current returns the configuration in force. Its version is zero when none has
// been adopted.
func (d *Daemon) current() *wasabiridge.Config {
	return &d.config.Load().config
}

// Adopt puts a configuration from the platform or from a peer in force. It is
// ignored unless its version is higher than that of the configuration in force;
// a configuration from the file is always replaced.
func (d *Daemon) Adopt(cfg wasabiridge.Config) {
	d.adopt(&adoptedConfig{config: cfg})
}

func (d *Daemon) adopt(next *adoptedConfig) {
	for {
		now := d.config.Load()
		if next.fromFile && now.config.Version > 0 || !now.fromFile && next.config.Version <= now.config.Version {
			return
		}
		if d.config.CompareAndSwap(now, next) {
			break
		}
	}
	d.components.loop.Post(wasabiridge.ConfigAdopted{Config: next.config})
	d.components.intake.Watch(engines(next.config))
	if d.components.peers.members != nil && !next.fromFile {
		d.components.peers.members.SetConfig(next.config.Version)
	}
	d.log.Info().Uint64("version", uint64(next.config.Version)).Msg("Configuration adopted.")
}

// engines returns the model engines of all pools. An engine that is in several
// pools is returned once.
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

// fileFallbackDelay is how long a starting daemon waits for a configuration from
// the platform or a peer before it adopts the one from the file. Newer
// configurations may have been accepted since the file was written, and a
// restart that adopted the file at once would revert to it until the platform
// answered. If neither the platform nor a peer answers in time, serving with the
// configuration from the file is better than not serving.
const fileFallbackDelay = 75 * wasabiridge.Millis(1)

// loadConfig reads the configuration file, if the settings name one, and adopts
// it: at once when there is no platform, otherwise after fileFallbackDelay. It
// returns ErrInvalid when the file cannot be read.
func (d *Daemon) loadConfig() error {
	file := d.options.Settings.ConfigFile
	if file == "" {
		return nil
	}
	var text []byte
	var err error
	if text, err = os.ReadFile(file); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "daemon: cannot read the configuration file")
	}
	var cfg wasabiridge.Config
	if cfg, err = wasabirule.Parse(text); err != nil {
		return err
	}
	if cfg.Version == 0 {
		cfg = cfg.WithVersion(1)
	}
	next := &adoptedConfig{config: cfg, fromFile: true}
	if d.components.config == nil {
		d.adopt(next)
		return nil
	}
	time.AfterFunc(fileFallbackDelay.Duration(), func() { d.adoptFallback(next) })
	return nil
}

// adoptFallback adopts the configuration from the file if no other one has been
// adopted yet.
func (d *Daemon) adoptFallback(next *adoptedConfig) {
	if d.current().Version == 0 {
		d.log.Warn().Msg("No configuration from the platform or from peers in time; using the configuration file.")
		d.adopt(next)
	}
}
