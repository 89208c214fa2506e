package wasabiquota

import (
	"encoding/json"
	"net/http"

	"github.com/wasabiridge/wasabiridge"
)

var _ wasabiridge.QuotaReader = (*Controller)(nil)

// Handler returns the operators' view of the limits (GET): what is left of them, what each
// instance has spent, and how much was refused. Limits can be set only in the
// configuration.
func (k *Controller) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(k.Quotas())
	})
}

// Quotas implements wasabiridge.QuotaReader.
func (k *Controller) Quotas() wasabiridge.QuotaReport {
	s := k.Snapshot()
	out := wasabiridge.QuotaReport{Instance: k.options.Self, Share: s.UsableShare, Accounts: []wasabiridge.QuotaStatus{}}
	for _, e := range s.Entries {
		status := wasabiridge.QuotaStatus{Account: e.Account, Limit: e.Limit, Left: e.Level, Known: e.Known, Refused: e.Refused}
		status.Used = append(status.Used, wasabiridge.QuotaUse{Instance: k.options.Self, Used: int64(e.SpentHere)})
		for _, t := range e.Totals {
			status.Used = append(status.Used, wasabiridge.QuotaUse{Instance: t.Instance, Used: t.Spent, Unresponsive: t.Unresponsive})
		}
		out.Accounts = append(out.Accounts, status)
	}
	return out
}
