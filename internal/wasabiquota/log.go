package wasabiquota

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

// logInterval is the shortest time between two log lines about the owners.
const logInterval = wasabiridge.Second

// logOwners logs a change of the owners, at most once per logInterval.
func (k *Controller) logOwners(o Owners, silent []wasabiridge.InstanceID) {
	now := k.options.Clock.Now()
	if o == k.loggedOwners || now-k.loggedAt < logInterval && k.loggedAt > 0 {
		return
	}
	k.loggedOwners, k.loggedAt = o, now
	k.options.Log.Info().Uint64("owners_change", o.Change).Int("members", o.Members).Int("divided", o.Divisor).
		Bool("agreed", o.Agreed).Bool("own", o.IsOwner).Float64("limit_part", o.UsableShare).Strs("silent", idStrings(silent)).
		Msg("Owners of the limits have changed.")
}

func idStrings(ids []wasabiridge.InstanceID) []string {
	var out []string
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

// logRefusal logs why a request was refused.
func (k *Controller) logRefusal(n Refusal) {
	k.options.Log.Info().Str(wasabilog.RequestField, string(n.Request)).Str("account", string(n.Account)).
		Float64("rate", n.Limit.Rate).Float64("burst", n.Limit.Burst).Str("unit", string(n.Limit.Unit)).
		Float64("cost", n.Cost).Float64("level", n.Level).Float64("limit_part", n.UsableShare).Bool("known", n.Known).
		Int64("news_age_ms", int64(n.Oldest)).Strs("silent", idStrings(n.Unresponsive)).
		Uint64("owners_change", n.Owners.Change).Int("divided", n.Owners.Divisor).Bool("agreed", n.Owners.Agreed).Int64("retry_after_ms", int64(n.RetryAfter)).
		Msg("Request refused: account is over its limit.")
}
