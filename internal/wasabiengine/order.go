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
	// Weights is the version to serve. Zero keeps the version.
	Weights uint64 `json:"weights,omitempty"`
	// Role is what the engine is to do. Empty keeps the role.
	Role string `json:"role,omitempty"`
}

// weightsBody is the answer to GET and POST /weights.
type weightsBody struct {
	Weights       uint64 `json:"weights"`
	FencingNumber uint64 `json:"fencing_number"`
	Loading       bool   `json:"loading"`
	Role          string `json:"role,omitempty"`
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
	load, ok := e.core.accept(order, !e.opts.IgnoresFencing)
	if !ok {
		writeError(w, http.StatusPreconditionFailed, "fencing number too old", "fenced")
		return
	}
	if load != 0 {
		time.AfterFunc(e.opts.LoadTime.Duration(), func() { e.core.endLoad(load, order) })
	}
	writeJSON(w, http.StatusAccepted, e.core.weights())
}

func (c *core) weights() weightsBody {
	c.mu.Lock()
	defer c.mu.Unlock()
	return weightsBody{
		Weights:       uint64(c.model.Spec().Weights),
		FencingNumber: uint64(c.fencing),
		Loading:       c.loading,
		Role:          c.role,
	}
}

// accept takes an order. It reports false when its fencing number is older than
// one already seen and the engine checks fencing numbers. The returned number
// names the load that the order begins, or is zero when it begins none.
func (c *core) accept(o orderBody, checks bool) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := wasabiridge.FencingNumber(o.FencingNumber)
	if checks && number < c.fencing {
		return 0, false
	}
	c.fencing = max(c.fencing, number)
	if o.Role != "" {
		c.role = o.Role
	}
	target := wasabiridge.WeightsVersion(o.Weights)
	if target == 0 || (!c.loading && target == c.model.Spec().Weights) {
		return 0, true
	}
	c.loading = true
	c.loads++
	return c.loads, true
}

// endLoad puts loaded weights in force. A load that a later order or a crash
// overtook changes nothing.
func (c *core) endLoad(load uint64, o orderBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loading || load != c.loads {
		return
	}
	c.loading = false
	c.model.LoadWeights(wasabiridge.WeightsVersion(o.Weights))
	c.poke()
}
