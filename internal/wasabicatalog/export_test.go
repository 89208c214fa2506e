package wasabicatalog

import "github.com/wasabiridge/wasabiridge"

// IgnoredEntries exports the log decision of ignored entries.
type IgnoredEntries struct{ *ignoredEntries }

func NewIgnoredEntries() IgnoredEntries { return IgnoredEntries{newIgnoredEntries()} }

func (t IgnoredEntries) Read(now wasabiridge.Millis, entries []wasabiridge.UnusableEntry) (*wasabiridge.UnusableEntry, int) {
	return t.read(now, entries)
}

func (t IgnoredEntries) Total() map[string]uint64 { return t.total() }

// BackendDigest returns the digest of the known list.
func (m *Machine) BackendDigest() uint64 { return m.backends.digest }

// Snapshot returns the known configuration.
func (m *Machine) Snapshot() wasabiridge.ConfigSnapshot { return m.snapshot }
