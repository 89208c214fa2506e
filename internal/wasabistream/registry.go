package wasabistream

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
)

// RegistryKey is the key of the row that holds the software versions of each pool at which
// streams may have begun.
const RegistryKey = "software"

const (
	// registerTimeout bounds the time by which the registration of a version delays the
	// list, and readTimeout that of a read of the row.
	registerTimeout = 250 * time.Millisecond
	readTimeout     = 150 * time.Millisecond
	// registerTries bounds the writes of one registration, which other instances may
	// precede.
	registerTries = 3
)

// versions are the registered software versions of each pool, sorted.
type versions map[wasabiridge.PoolID][]wasabiridge.SoftwareVersion

func (v versions) has(pool wasabiridge.PoolID, version wasabiridge.SoftwareVersion) bool {
	return slices.Contains(v[pool], version)
}

// RegistryOptions configure a Registry. Source, Rows and Clock are required.
type RegistryOptions struct {
	Self   wasabiridge.InstanceID
	Source wasabiridge.CatalogSource
	Rows   wasabiridge.Table
	Clock  wasabiridge.Clock
	Log    zerolog.Logger
}

// Registry is a catalog source that registers the software versions of the backend servers
// in a row of the platform's table before it returns a list that contains them. Streams
// begin only at registered versions, so that the row proves at which versions they may have
// begun, whichever instances have ended since. It is safe for concurrent use.
type Registry struct {
	RegistryOptions
	mu sync.Mutex
	// registered are the versions that the row is known to contain.
	registered versions
	marked     marking
	history    *History
	// epoch is the epoch of the store, lost are the versions that were registered before
	// the restore that began it, and restoredAt is when it was seen.
	epoch      wasabiridge.StoreEpoch
	lost       versions
	restoredAt wasabiridge.Millis
	// next is the read of the row that has not started yet. Nil means that none is wanted.
	next    *rowRead
	reading bool
}

// rowRead is a read of the row for several callers. Its result may be used after done is
// closed.
type rowRead struct {
	done chan struct{}
	row  versions
	err  error
}

var (
	_ wasabiridge.CatalogSource = (*Registry)(nil)
	_ wasabiridge.CatalogPages  = (*Registry)(nil)
)

// NewRegistry returns a Registry that has not read the row.
func NewRegistry(o RegistryOptions) *Registry {
	return &Registry{RegistryOptions: o, registered: versions{}, history: NewHistory()}
}

// ReadConfig implements wasabiridge.CatalogSource.
func (r *Registry) ReadConfig(ctx context.Context) (wasabiridge.ConfigSnapshot, error) {
	return r.Source.ReadConfig(ctx)
}

// ReadBackends implements wasabiridge.CatalogSource. The servers whose version is registered
// are marked.
func (r *Registry) ReadBackends(ctx context.Context) (wasabiridge.BackendSnapshot, error) {
	return r.readMarked(ctx, r.Source.ReadBackends)
}

// readMarked reads a list, registers the versions of a complete one and marks the servers whose
// version is registered.
func (r *Registry) readMarked(ctx context.Context, read func(context.Context) (wasabiridge.BackendSnapshot, error)) (wasabiridge.BackendSnapshot, error) {
	sent := r.Clock.Now()
	s, err := read(ctx)
	if err != nil || s.Partial {
		return s, err
	}
	r.observeEpoch(sent, wasabiridge.EpochOf(s.Revision))
	r.register(ctx, sent, s.Entries)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Entries = r.marked.of(s.Entries, r.registered)
	return s, nil
}

// ReadFirstBackends implements wasabiridge.CatalogPages. A partial list is not registered: it
// serves only until the complete one is known.
func (r *Registry) ReadFirstBackends(ctx context.Context) (wasabiridge.BackendSnapshot, error) {
	pages, ok := r.Source.(wasabiridge.CatalogPages)
	if !ok {
		return r.ReadBackends(ctx)
	}
	return r.readMarked(ctx, pages.ReadFirstBackends)
}

// marking is a list with its servers marked. It is used again while neither the list nor the
// registered versions change.
type marking struct {
	entries    []wasabiridge.BackendEntry
	registered versions
	out        []wasabiridge.BackendEntry
}

// of returns a list whose servers are marked if their version is registered. The given list is
// not modified.
func (m *marking) of(entries []wasabiridge.BackendEntry, registered versions) []wasabiridge.BackendEntry {
	same := len(entries) == len(m.entries) && len(entries) > 0 && &entries[0] == &m.entries[0]
	if same && maps.EqualFunc(registered, m.registered, slices.Equal[[]wasabiridge.SoftwareVersion]) {
		return m.out
	}
	out := slices.Clone(entries)
	for i, e := range out {
		out[i].Server.SoftwareRegistered = registered.has(e.Pool, e.Server.Software)
	}
	*m = marking{entries: entries, registered: maps.Clone(registered), out: out}
	return out
}

// epochPool is the entry of the row that holds the epoch of the store in which the row was
// last checked. A restore may have lost versions of an earlier epoch.
const epochPool = wasabiridge.PoolID("")

// observeEpoch makes the row be checked again after a restore of the store.
func (r *Registry) observeEpoch(now wasabiridge.Millis, epoch wasabiridge.StoreEpoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch <= r.epoch {
		return
	}
	r.epoch, r.lost, r.restoredAt, r.registered = epoch, r.registered, now, versions{}
}

// isChecked reports whether the row was checked in an epoch.
func (v versions) isChecked(epoch wasabiridge.StoreEpoch) bool {
	return epoch == 0 || slices.Equal(v[epochPool], []wasabiridge.SoftwareVersion{epochVersion(epoch)})
}

func epochVersion(epoch wasabiridge.StoreEpoch) wasabiridge.SoftwareVersion {
	return wasabiridge.SoftwareVersion(strconv.FormatUint(uint64(epoch), 10))
}

// register adds the versions of a list to the row, and removes those that were not listed
// for longer than a stream lasts. It does nothing if the row is known to be right.
func (r *Registry) register(ctx context.Context, sent wasabiridge.Millis, entries []wasabiridge.BackendEntry) {
	r.mu.Lock()
	r.history.Read(sent, entries)
	_, changes := r.wanted(sent, r.registered)
	r.mu.Unlock()
	if !changes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	for range registerTries {
		row, err := r.Rows.Get(ctx, RegistryKey)
		var stored versions
		if err == nil {
			stored, err = decodeVersions(row)
		}
		if err != nil {
			r.Log.Info().Err(err).Msg("Software versions not registered: the row cannot be read.")
			return
		}
		r.mu.Lock()
		r.registered = stored
		wanted, changes := r.wanted(sent, stored)
		r.mu.Unlock()
		if !changes {
			return
		}
		if err = r.write(ctx, row, wanted); err == nil {
			r.mu.Lock()
			r.registered = wanted
			r.mu.Unlock()
			r.Log.Info().Interface("software", wanted).Msg("Software versions registered.")
			return
		}
		if !errorx.IsOfType(err, wasabiridge.ErrConflict) {
			r.Log.Info().Err(err).Msg("Software versions not registered: the row was not written.")
			return
		}
	}
}

// wanted returns what the row should contain, given what it contains, and whether that is a
// change. A pool that no server was listed in keeps its versions. The mutex must be held.
func (r *Registry) wanted(now wasabiridge.Millis, stored versions) (versions, bool) {
	out, changes := maps.Clone(stored), false
	for pool := range r.history.listedAt {
		seen := r.history.Of(now, pool, maxLife)
		next := slices.Clone(seen.Versions)
		if now-r.restoredAt < maxLife {
			next = append(next, r.lost[pool]...)
		}
		if seen.Watched < maxLife {
			// Versions that were not listed lately may have been listed before.
			next = append(next, stored[pool]...)
		}
		slices.Sort(next)
		if next = slices.Compact(next); !slices.Equal(next, stored[pool]) {
			out[pool], changes = next, true
		}
	}
	if !stored.isChecked(r.epoch) {
		out[epochPool], changes = []wasabiridge.SoftwareVersion{epochVersion(r.epoch)}, true
	}
	return out, changes
}

func (r *Registry) write(ctx context.Context, row wasabiridge.Row, v versions) error {
	value, err := json.Marshal(v)
	if err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "stream: encode the software versions")
	}
	id := string(r.Self) + "/" + RegistryKey + "/" + strconv.FormatInt(int64(r.Clock.Now()), 36)
	return r.Rows.Commit(ctx, wasabiridge.Transaction{
		ID:      wasabiridge.WriteID(id),
		Changes: []wasabiridge.RowChange{{Key: RegistryKey, IfRevision: row.Revision, Value: value}},
		Epoch:   row.Epoch,
	})
}

func decodeVersions(row wasabiridge.Row) (versions, error) {
	out := versions{}
	if row.Revision == 0 {
		return out, nil
	}
	if err := json.Unmarshal(row.Value, &out); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "stream: row %q does not hold software versions", RegistryKey)
	}
	return out, nil
}

// OnlyVersion returns the version at which all streams of a pool began, if there was only
// one. It reads the row after the call, once for all calls that wait at the time.
func (r *Registry) OnlyVersion(ctx context.Context, pool wasabiridge.PoolID) (wasabiridge.SoftwareVersion, bool) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &rowRead{done: make(chan struct{})}
	}
	read := r.next
	if !r.reading {
		r.reading = true
		go r.readRows()
	}
	r.mu.Unlock()
	select {
	case <-read.done:
	case <-ctx.Done():
		return "", false
	}
	if read.err != nil || len(read.row[pool]) != 1 {
		return "", false
	}
	return read.row[pool][0], true
}

// readRows reads the row as long as reads are wanted.
func (r *Registry) readRows() {
	for {
		r.mu.Lock()
		read := r.next
		r.next, r.reading = nil, read != nil
		r.mu.Unlock()
		if read == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		var row wasabiridge.Row
		if row, read.err = r.Rows.Get(ctx, RegistryKey); read.err == nil {
			read.row, read.err = decodeVersions(row)
		}
		if read.err == nil && !read.row.isChecked(row.Epoch) {
			read.err = wasabiridge.ErrUnavailable.New("stream: row %q was not checked since the store was restored, epoch %d", RegistryKey, row.Epoch)
		}
		cancel()
		if read.err != nil {
			r.Log.Debug().Err(read.err).Msg("Registered software versions not read.")
		}
		close(read.done)
	}
}
