package wasabiengine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// orderBody is the body of POST /weights. The order is absolute: it names the
// version to serve, so that the same order twice changes nothing more.
type orderBody struct {
	FencingNumber uint64 `json:"fencing_number"`
	Model         string `json:"model,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Weights       uint64 `json:"weights"`
}

// weightsBody is the answer to GET and POST /weights.
type weightsBody struct {
	Weights       uint64 `json:"weights"`
	FencingNumber uint64 `json:"fencing_number"`
	Loading       bool   `json:"loading"`
}

func (e *Engine) handleWeights(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.core.weights())
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order orderBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "broken order", "invalid_request_error")
		return
	}
	if !e.core.beginLoad(order, !e.opts.IgnoresFencing) {
		writeError(w, http.StatusPreconditionFailed, "fencing number too old", "fenced")
		return
	}
	time.AfterFunc(e.opts.LoadTime.Duration(), func() { e.core.endLoad(order) })
	writeJSON(w, http.StatusAccepted, e.core.weights())
}

func (c *core) weights() weightsBody {
	c.mu.Lock()
	defer c.mu.Unlock()
	return weightsBody{
		Weights:       uint64(c.model.Spec().Weights),
		FencingNumber: uint64(c.fencing),
		Loading:       c.loading,
	}
}

// beginLoad accepts an order. It reports false when its fencing number is
// older than one already seen and the engine checks fencing numbers.
func (c *core) beginLoad(o orderBody, checks bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := wasabiridge.FencingNumber(o.FencingNumber)
	if checks && number < c.fencing {
		return false
	}
	c.fencing = max(c.fencing, number)
	c.loading = c.loading || wasabiridge.WeightsVersion(o.Weights) != c.model.Spec().Weights
	return true
}

func (c *core) endLoad(o orderBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loading {
		return
	}
	c.loading = false
	c.model.LoadWeights(wasabiridge.WeightsVersion(o.Weights))
	c.poke()
}
