package wasabiridge

// StoreEpoch counts how often the platform's store was restored from an earlier copy of
// its data. A restore loses all writes since the copy was made, also acknowledged ones, and
// begins a new epoch, in which the store assigns its versions again. Zero means that the
// store states no epoch.
type StoreEpoch uint64

const (
	// versionBits is the number of low bits of a revision that hold the store's version.
	versionBits = 44
	// MaxStoreVersion is the largest version that a revision holds.
	MaxStoreVersion = 1<<versionBits - 1
	// MaxStoreEpoch is the largest epoch that a revision holds.
	MaxStoreEpoch = 1<<(64-versionBits) - 1
)

// NewRevision returns the revision of a version that the store assigned in an epoch.
// Revisions are ordered by epoch first, since a version alone says nothing about the order
// in time once the store was restored. It returns ErrInvalid if a value is too large.
func NewRevision(epoch StoreEpoch, version uint64) (uint64, error) {
	if epoch > MaxStoreEpoch || version > MaxStoreVersion {
		return 0, ErrInvalid.New("revision: epoch %d or version %d is larger than %d or %d", epoch, version, uint64(MaxStoreEpoch), uint64(MaxStoreVersion))
	}
	return uint64(epoch)<<versionBits | version, nil
}

// EpochOf returns the epoch of a revision.
func EpochOf(revision uint64) StoreEpoch { return StoreEpoch(revision >> versionBits) }

// VersionOf returns the version that the store assigned to a revision.
func VersionOf(revision uint64) uint64 { return revision & MaxStoreVersion }
