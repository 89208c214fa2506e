package wasabiridge

import "context"

// Row is one row of the platform's table. Rows are immutable values.
type Row struct {
	Key string
	// Revision increases with every write of the row, also across restores of the store;
	// see NewRevision. Zero means that the row does not exist.
	Revision uint64
	Value    []byte
	// LastWrite is the ID of the write that created this revision.
	LastWrite WriteID
	// Epoch is the epoch of the store that returned the row. A row that does not exist has
	// one, too.
	Epoch StoreEpoch
}

// RowChange is one write of a transaction, with a precondition for the whole
// transaction.
type RowChange struct {
	Key string
	// IfRevision is the revision that the row must have. Zero means that the row must
	// not exist.
	IfRevision uint64
	Value      []byte
	// Delete removes the row.
	Delete bool
}

// Transaction is a set of changes that take effect together or not at all.
type Transaction struct {
	ID      WriteID
	Changes []RowChange
	// Epoch is the epoch in which the preconditions were read. In another epoch the
	// transaction is a conflict or has an unknown outcome. Zero means that only the
	// revisions of the preconditions are checked.
	Epoch StoreEpoch
	// Rollouts are rollouts whose states the operators are shown with the changes. A table
	// that operators do not read ignores them.
	Rollouts []SoftwareRollout
}

// Table is the platform's transactional table service. Implementations are safe for
// concurrent use.
//
// Commit has three kinds of results: nil, the transaction took effect; ErrConflict, a
// precondition did not hold and nothing changed; any other error, the outcome is
// unknown. After an unknown outcome the caller reads the rows back and looks for its
// own WriteID. It never repeats the write without that check.
type Table interface {
	// Get reads a row. A row that does not exist has Revision zero.
	Get(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows whose keys start with prefix and sort after the key
	// after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out a transaction.
	Commit(ctx context.Context, tx Transaction) error
}

// ObjectStore is the platform's object store. Implementations are safe for concurrent
// use.
type ObjectStore interface {
	// Get reads an object. It returns ErrNotFound when there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes a complete object.
	Put(ctx context.Context, name string, data []byte) error
	// List returns the names of up to limit objects that start with prefix and sort
	// after the name after, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// InstanceEntry is one entry of the platform's list of instances.
type InstanceEntry struct {
	ID InstanceID
	// PeerAddress is the address for messages of other instances, as IP:port.
	PeerAddress string
	// CallerURL is the URL for callers.
	CallerURL string
	Zone      AvailabilityZone
	Region    Region
	Leaving   bool
	// Capacity is the capacity of the instance relative to others, such as its share of
	// a CPU core. Zero counts as one.
	Capacity float64
}

// Weight returns the capacity, or one when it is not set.
func (e InstanceEntry) Weight() float64 {
	if e.Capacity <= 0 {
		return 1
	}
	return e.Capacity
}

// InstanceList reads the platform's list of live and leaving instances. It lags behind
// the actual state.
type InstanceList interface {
	// Instances returns the current list of the platform.
	Instances(ctx context.Context) ([]InstanceEntry, error)
}

// WeightStore returns which weights are published. Reading weights is rate-limited;
// engines read the weights themselves after an order.
type WeightStore interface {
	// Latest returns the newest published version of a model and adapter.
	Latest(ctx context.Context, m ModelID, a AdapterID) (WeightsVersion, error)
}
