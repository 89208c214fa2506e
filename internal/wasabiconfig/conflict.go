package wasabiconfig

import (
	"strings"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// Conflict tells an operator who lost a race against what it was lost.
type Conflict struct {
	// Base is the version that the operator started from.
	Base wasabiridge.ConfigVersion
	// Version, Author and At describe the newest accepted configuration.
	Version wasabiridge.ConfigVersion
	Author  string
	At      wasabiridge.Millis
	// Changes name what differs between Base and Version. They are empty when
	// Base cannot be read.
	Changes []string
}

var conflictProperty = errorx.RegisterPrintableProperty("conflict")

// ConflictOf returns what a conflict was lost against. It reports false when
// the error is of another kind.
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
		"version %d by %q at %s came first, and your change starts from version %d: %s",
		c.Version, c.Author, c.At.Time().Format("2006-01-02 15:04:05 MST"), c.Base, strings.Join(c.Changes, "; "),
	).WithProperty(conflictProperty, c)
}

// changesBetween compares two documents. Documents that do not parse any more
// give no lines.
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
