package wasabiquota

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// OwnersKey is the key of the row that names the instances that own a share of the limits.
const OwnersKey = "quota/owners"

const (
	// ownersWriteInterval is the shortest time between two writes of the row.
	ownersWriteInterval = 5 * wasabiridge.Second
	// maxOwners bounds the number of names that are accepted from the row.
	maxOwners = 4096
	// rowTimeout bounds one call to the platform's table, rowRetryPause is the pause
	// between two attempts. rowAttempts is how often reading the row is attempted: by then,
	// updates from other instances say more than the row.
	rowTimeout    = time.Second
	rowRetryPause = 200 * time.Millisecond
	rowAttempts   = 5
)

// syncOwners reads the row once limits are known, and writes it when the owners have
// changed and this instance is the first of them.
//
// The failure it guards against: all instances start at once. None of them knows how many
// instances share a limit, and for a second they refuse most of what an account sends.
func (k *Controller) syncOwners(ctx context.Context, limited bool, owners []wasabiridge.InstanceID) {
	if k.options.Rows == nil || !limited {
		return
	}
	if !k.ownersRead {
		k.ownersRead = true
		go k.readOwners(ctx)
	}
	if k.ownersWriteFailed.Swap(false) {
		k.ownersWritten = nil
	}
	if k.options.Epoch != nil && k.options.Epoch() > k.ownersEpoch {
		// The store was restored and may have lost the row.
		k.ownersEpoch, k.ownersWritten = k.options.Epoch(), nil
	}
	now := k.options.Clock.Now()
	if len(owners) < 2 || owners[0] != k.options.Self || slices.Equal(owners, k.ownersWritten) || now-k.ownersWrittenAt < ownersWriteInterval {
		return
	}
	k.ownersWritten, k.ownersWrittenAt = owners, now
	go k.writeOwners(ctx, owners)
}

func (k *Controller) readOwners(ctx context.Context) {
	for range rowAttempts {
		owners, err := k.getOwners(ctx)
		if err == nil {
			k.options.Log.Info().Int("owners", len(owners)).Msg("Owners of the limits read.")
			k.loop.Post(wasabiridge.OwnersKnown{Instances: owners})
			return
		}
		k.options.Log.Debug().Err(err).Msg("Owners of the limits not read.")
		select {
		case <-time.After(rowRetryPause):
		case <-ctx.Done():
			return
		}
	}
}

func (k *Controller) getOwners(ctx context.Context) ([]wasabiridge.InstanceID, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	row, err := k.options.Rows.Get(ctx, OwnersKey)
	if err != nil || row.Revision == 0 {
		return nil, err
	}
	var owners []wasabiridge.InstanceID
	if err = json.Unmarshal(row.Value, &owners); err != nil || len(owners) > maxOwners {
		return nil, wasabiridge.ErrInvalid.New("quota: row %q is not a valid list of instance names", OwnersKey)
	}
	return owners, nil
}

// writeOwners writes the names into the row. A write that fails is repeated after
// ownersWriteInterval.
func (k *Controller) writeOwners(ctx context.Context, owners []wasabiridge.InstanceID) {
	value, err := json.Marshal(owners)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	var row wasabiridge.Row
	if row, err = k.options.Rows.Get(ctx, OwnersKey); err == nil && string(row.Value) != string(value) {
		id := string(k.options.Self) + "/" + strconv.FormatUint(uint64(k.options.Incarnation), 36) + "/" + OwnersKey + "/" +
			strconv.FormatInt(int64(k.options.Clock.Now()), 36)
		err = k.options.Rows.Commit(ctx, wasabiridge.Transaction{
			ID:      wasabiridge.WriteID(id),
			Changes: []wasabiridge.RowChange{{Key: OwnersKey, IfRevision: row.Revision, Value: value}},
			Epoch:   row.Epoch,
		})
	}
	if err != nil {
		k.ownersWriteFailed.Store(true)
		k.options.Log.Info().Err(err).Int("owners", len(owners)).Msg("Owners of the limits not written.")
		return
	}
	k.options.Log.Info().Int("owners", len(owners)).Msg("Owners of the limits written.")
}
