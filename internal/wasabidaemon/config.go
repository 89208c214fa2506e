package wasabidaemon

import (
	"os"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// loadConfig takes the configuration from the file that the settings name, if
// they name one. A version that the file leaves out counts as 1, below
// everything that the platform or a peer may have.
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
	d.Adopt(cfg)
	return nil
}
