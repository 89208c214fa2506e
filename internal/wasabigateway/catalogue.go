package wasabigateway

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      wasabiridge.ModelID `json:"id"`
	Object  string              `json:"object"`
	Created int64               `json:"created"`
	OwnedBy string              `json:"owned_by"`
}

// serveModels lists the models that the rules offer to the client account.
func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	c := callOf(r)
	list := modelList{Object: "list", Data: []model{}}
	for _, id := range modelsOf(c.config, c.account) {
		list.Data = append(list.Data, model{ID: id, Object: "model", OwnedBy: "wasabiridge"})
	}
	writeJSON(w, list)
}

func modelsOf(cfg *wasabiridge.Config, account wasabiridge.ClientAccount) []wasabiridge.ModelID {
	seen := map[wasabiridge.ModelID]bool{}
	for _, rule := range cfg.Rules {
		if !appliesTo(rule, account) {
			continue
		}
		for _, id := range rule.When.Models {
			seen[id] = true
		}
		if rule.Then.Model != "" && len(rule.When.Models) == 0 {
			seen[rule.Then.Model] = true
		}
	}
	ids := make([]wasabiridge.ModelID, 0, len(seen))
	for id := range seen {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func appliesTo(rule wasabiridge.Rule, account wasabiridge.ClientAccount) bool {
	if rule.Then.Refuse != "" || !account.MayUse(rule.Then.Pool) {
		return false
	}
	for _, id := range rule.When.Accounts {
		if id == account.ID {
			return true
		}
	}
	return len(rule.When.Accounts) == 0
}

// serveAddresses answers with the instances that the caller should use and with
// the time for which that list is valid.
func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if g.options.Addresses == nil {
		g.fail(w, r, failNoAddresses)
		return
	}
	zone := wasabiridge.AvailabilityZone(r.URL.Query().Get("zone"))
	answer := g.options.Addresses.Answer(callOf(r).account.ID, zone)
	seconds := int64(answer.Lifetime / wasabiridge.Second)
	w.Header().Set("Cache-Control", "private, max-age="+strconv.FormatInt(seconds, 10))
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
