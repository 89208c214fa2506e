package wasabiquota

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

// logEvery is the shortest time between two lines about the owners.
const logEvery = wasabiridge.Second

// logOwners tells what has changed about the owners, once in a while.
func (k *Keeper) logOwners(o Owners, silent []wasabiridge.InstanceID) {
	now := k.options.Clock.Now()
	if o == k.owners || now-k.ownersAt < logEvery && k.ownersAt > 0 {
		return
	}
	k.owners, k.ownersAt = o, now
	k.options.Log.Info().Uint64("owners_change", o.Change).Int("members", o.Members).Int("divided", o.Divided).
		Bool("agreed", o.Agreed).Bool("own", o.Own).Float64("limit_part", o.Part).Strs("silent", texts(silent)).
		Msg("Owners of the limits have changed.")
}

func texts(ids []wasabiridge.InstanceID) []string {
	var out []string
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

// log tells why a request was refused.
func (k *Keeper) log(n Note) {
	k.options.Log.Info().Str(wasabilog.RequestField, string(n.Request)).Str("account", string(n.Account)).
		Float64("rate", n.Limit.Rate).Float64("burst", n.Limit.Burst).Str("unit", string(n.Limit.Unit)).
		Float64("cost", n.Cost).Float64("level", n.Level).Float64("limit_part", n.Part).Bool("known", n.Known).
		Int64("news_age_ms", int64(n.Oldest)).Strs("silent", texts(n.Silent)).
		Uint64("owners_change", n.Owners.Change).Int("divided", n.Owners.Divided).Bool("agreed", n.Owners.Agreed).Int64("retry_after_ms", int64(n.RetryAfter)).
		Msg("Request is beyond the limit of its account.")
}
