package wasabiquota

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// OwnersKey is the row that names the instances that own a part of the limits.
const OwnersKey = "quota/owners"

const (
	// ownersEvery is how often the row is written at most.
	ownersEvery = 5 * wasabiridge.Second
	// ownersMost bounds the names that are read.
	ownersMost = 4096
	// rowTimeout bounds one call to the platform's table, rowPause is the time between two
	// tries, rowTries how often the row is tried to be read: after that other instances
	// have told more.
	rowTimeout = time.Second
	rowPause   = 200 * time.Millisecond
	rowTries   = 5
)

// keepOwners reads the row once limits are known, and writes it when the owners have
// changed and this instance is the first of them.
//
// The failure it guards against: all instances start at once. None knows how many share a
// limit, and for a second they refuse most of what an account sends.
func (k *Keeper) keepOwners(ctx context.Context, limited bool, owners []wasabiridge.InstanceID) {
	if k.options.Rows == nil || !limited {
		return
	}
	if !k.read {
		k.read = true
		go k.readOwners(ctx)
	}
	now := k.options.Clock.Now()
	if len(owners) < 2 || owners[0] != k.options.Self || slices.Equal(owners, k.written) || now-k.writtenAt < ownersEvery {
		return
	}
	k.written, k.writtenAt = owners, now
	go k.writeOwners(ctx, owners)
}

func (k *Keeper) readOwners(ctx context.Context) {
	for range rowTries {
		owners, err := k.getOwners(ctx)
		if err == nil {
			k.options.Log.Info().Int("owners", len(owners)).Msg("Owners of the limits read.")
			k.loop.Post(wasabiridge.OwnersKnown{Instances: owners})
			return
		}
		k.options.Log.Debug().Err(err).Msg("Owners of the limits not read.")
		select {
		case <-time.After(rowPause):
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) getOwners(ctx context.Context) ([]wasabiridge.InstanceID, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	row, err := k.options.Rows.Get(ctx, OwnersKey)
	if err != nil || row.Revision == 0 {
		return nil, err
	}
	var owners []wasabiridge.InstanceID
	if err = json.Unmarshal(row.Value, &owners); err != nil || len(owners) > ownersMost {
		return nil, wasabiridge.ErrInvalid.New("quota: row %q names no instances", OwnersKey)
	}
	return owners, nil
}

// writeOwners puts the names into the row. Whoever is the first owner next writes again.
func (k *Keeper) writeOwners(ctx context.Context, owners []wasabiridge.InstanceID) {
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
		})
	}
	k.options.Log.Info().Err(err).Int("owners", len(owners)).Msg("Owners of the limits written.")
}
