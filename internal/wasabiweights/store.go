// Package wasabiweights provides the published versions of weights. Versions are marked
// by objects in a separate bucket, so any platform with an object store can provide
// them without a further interface.
//
// # Layout
//
// Version 7 of adapter "legal" on model "large" is marked by the object
// "large/legal/18446744073709551608". The number is the largest 64-bit value minus the
// version, in 20 digits, so that the newest version is listed first and listing a
// single name finds it.
//
// # Usage
//
//	store := wasabiweights.NewStore(objects)
//	version, err := store.Latest(ctx, "large", "legal")
package wasabiweights

import (
	"context"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// Store reads and publishes versions of weights. It is safe for concurrent use. Its
// rate limit is that of the object store.
type Store struct {
	objects wasabiridge.ObjectStore
}

var _ wasabiridge.WeightStore = (*Store)(nil)

// NewStore returns a Store that keeps its markers in the given object store.
func NewStore(objects wasabiridge.ObjectStore) *Store {
	return &Store{objects: objects}
}

// prefix escapes both names, because a slash inside one would let two pairs of names
// share a prefix.
func prefix(m wasabiridge.ModelID, a wasabiridge.AdapterID) string {
	return url.PathEscape(string(m)) + "/" + url.PathEscape(string(a)) + "/"
}

// Publish marks a version as published. Publishing a version again has no effect.
func (s *Store) Publish(ctx context.Context, m wasabiridge.ModelID, a wasabiridge.AdapterID, v wasabiridge.WeightsVersion) error {
	name := fmt.Sprintf("%s%020d", prefix(m, a), math.MaxUint64-uint64(v))
	return s.objects.Put(ctx, name, nil)
}

// Latest returns the newest published version. It returns ErrNotFound when none is
// published, and ErrInvalid when a marker is malformed.
func (s *Store) Latest(ctx context.Context, m wasabiridge.ModelID, a wasabiridge.AdapterID) (wasabiridge.WeightsVersion, error) {
	var (
		names []string
		err   error
	)
	if names, err = s.objects.List(ctx, prefix(m, a), "", 1); err != nil {
		return 0, err
	}
	if len(names) == 0 {
		return 0, wasabiridge.ErrNotFound.New("no weights published for model %q and adapter %q", m, a)
	}
	var inverted uint64
	if inverted, err = strconv.ParseUint(strings.TrimPrefix(names[0], prefix(m, a)), 10, 64); err != nil {
		return 0, wasabiridge.ErrInvalid.Wrap(err, "malformed weights marker %q", names[0])
	}
	return wasabiridge.WeightsVersion(math.MaxUint64 - inverted), nil
}
