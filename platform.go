package wasabiridge

import "context"

// Row is one row of the platform's table. Rows are immutable values.
type Row struct {
	Key string
	// Revision rises with every write of the row. Zero means that the row
	// does not exist.
	Revision uint64
	Value    []byte
	// LastWrite is the identifier of the write that made this revision.
	LastWrite WriteID
}

// RowChange is one write inside a transaction, with the condition under which
// the whole transaction is carried out.
type RowChange struct {
	Key string
	// IfRevision is the revision that the row must have. Zero means that the
	// row must not exist.
	IfRevision uint64
	Value      []byte
	// Delete removes the row.
	Delete bool
}

// Transaction is a set of changes that take effect together or not at all.
type Transaction struct {
	ID      WriteID
	Changes []RowChange
}

// Table is the platform's transactional table service. Implementations are
// safe for concurrent use.
//
// Commit reports one of three things: nil, the transaction took effect;
// ErrConflict, a condition did not hold and nothing changed; any other error,
// the outcome is unknown. After an unknown outcome the caller reads back and
// looks for its own WriteID. It never repeats the write blindly.
type Table interface {
	// Get reads a row. A row that does not exist has Revision zero.
	Get(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows whose keys start with prefix and follow
	// after, in the order of their keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out a transaction.
	Commit(ctx context.Context, tx Transaction) error
}

// ObjectStore is the platform's store of whole objects. Implementations are
// safe for concurrent use.
type ObjectStore interface {
	// Get reads an object. It reports ErrNotFound when there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes an object as a whole.
	Put(ctx context.Context, name string, data []byte) error
	// List names up to limit objects whose names start with prefix and
	// follow after, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// InstanceEntry is one line of the platform's list of instances.
type InstanceEntry struct {
	ID InstanceID
	// PeerAddress is where the instance takes messages of other instances,
	// as IP:port.
	PeerAddress string
	// CallerURL is where callers reach the instance.
	CallerURL string
	Zone      AvailabilityZone
	Region    Region
	Leaving   bool
	// Capacity is how much the instance can take beside others, such as its
	// share of a core. Zero counts as one.
	Capacity float64
}

// Weight returns the capacity, or one when none is told.
func (e InstanceEntry) Weight() float64 {
	if e.Capacity <= 0 {
		return 1
	}
	return e.Capacity
}

// InstanceList is the platform's list of live and leaving instances. It lags
// behind reality.
type InstanceList interface {
	// Instances returns the list as the platform knows it.
	Instances(ctx context.Context) ([]InstanceEntry, error)
}

// WeightStore tells which weights exist. Reading weights is rate-limited, and
// engines read them by themselves after an order.
type WeightStore interface {
	// Latest returns the newest published version of a model and adapter.
	Latest(ctx context.Context, m ModelID, a AdapterID) (WeightsVersion, error)
}
