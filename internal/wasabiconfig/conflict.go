package wasabiconfig

import (
	"strings"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// Conflict describes the competing change for an operator whose own change lost the
// race.
type Conflict struct {
	// Base is the version that the change was based on.
	Base wasabiridge.ConfigVersion
	// Version, Author and At describe the newest accepted configuration.
	Version wasabiridge.ConfigVersion
	Author  string
	At      wasabiridge.Millis
	// Changes describes the differences between Base and Version. It is empty when Base
	// cannot be read.
	Changes []string
}

var conflictProperty = errorx.RegisterPrintableProperty("conflict")

// ConflictOf returns the conflict that an error carries. The result is false when the
// error carries none.
func ConflictOf(err error) (Conflict, bool) {
	value, ok := errorx.ExtractProperty(err, conflictProperty)
	if !ok {
		return Conflict{}, false
	}
	c, ok := value.(Conflict)
	return c, ok
}

func (c Conflict) err() error {
	return wasabiridge.ErrConflict.New(
		"version %d by %q at %s was accepted first, and your change is based on version %d: %s",
		c.Version, c.Author, c.At.Time().Format("2006-01-02 15:04:05 MST"), c.Base, strings.Join(c.Changes, "; "),
	).WithProperty(conflictProperty, c)
}

// changesBetween compares two documents. It returns nil when one of them can no longer
// be parsed.
func changesBetween(from, to wasabiridge.ConfigDocument) []string {
	var (
		old, new wasabiridge.Config
		err      error
	)
	if old, err = parseOrEmpty(from); err != nil {
		return nil
	}
	if new, err = parseOrEmpty(to); err != nil {
		return nil
	}
	return Changes(old, new)
}

func parseOrEmpty(d wasabiridge.ConfigDocument) (wasabiridge.Config, error) {
	if d.Version == 0 {
		return wasabiridge.Config{}, nil
	}
	return wasabirule.Parse(d.Text)
}
