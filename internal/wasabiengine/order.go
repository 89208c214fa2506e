package wasabiengine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// orderBody is the body of POST /weights. Orders are idempotent, because they name
// the version to serve.
type orderBody struct {
	FencingNumber uint64 `json:"fencing_number"`
	Model         string `json:"model,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	// Weights is the version to serve. Zero keeps the version.
	Weights uint64 `json:"weights,omitempty"`
	// Role is the new role of the engine. Empty keeps the role.
	Role string `json:"role,omitempty"`
}

// weightsBody is the response to GET and POST /weights.
type weightsBody struct {
	Weights       uint64 `json:"weights"`
	FencingNumber uint64 `json:"fencing_number"`
	Loading       bool   `json:"loading"`
	Role          string `json:"role,omitempty"`
}

func (e *Engine) handleWeights(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.runner.weights())
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order orderBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "broken order", "invalid_request_error")
		return
	}
	loadID, ok := e.runner.accept(order, !e.opts.IgnoresFencing)
	if !ok {
		writeError(w, http.StatusPreconditionFailed, "fencing number too old", "fenced")
		return
	}
	if loadID != 0 {
		time.AfterFunc(e.opts.LoadTime.Duration(), func() { e.runner.finishLoad(loadID, order) })
	}
	writeJSON(w, http.StatusAccepted, e.runner.weights())
}

func (r *modelRunner) weights() weightsBody {
	r.mu.Lock()
	defer r.mu.Unlock()
	return weightsBody{
		Weights:       uint64(r.model.Spec().Weights),
		FencingNumber: uint64(r.fencing),
		Loading:       r.loading,
		Role:          r.role,
	}
}

// accept applies an order. It reports false if checkFencing is set and a higher
// fencing number was seen before. The returned number is the ID of the load of
// weights that the order starts, or zero if it starts none.
func (r *modelRunner) accept(o orderBody, checkFencing bool) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := wasabiridge.FencingNumber(o.FencingNumber)
	if checkFencing && number < r.fencing {
		return 0, false
	}
	r.fencing = max(r.fencing, number)
	if o.Role != "" {
		r.role = o.Role
	}
	target := wasabiridge.WeightsVersion(o.Weights)
	if target == 0 || (!r.loading && target == r.model.Spec().Weights) {
		return 0, true
	}
	r.loading = true
	r.lastLoadID++
	return r.lastLoadID, true
}

// finishLoad activates the loaded weights, unless a later order or a crash has
// superseded the load.
func (r *modelRunner) finishLoad(loadID uint64, o orderBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loading || loadID != r.lastLoadID {
		return
	}
	r.loading = false
	r.model.LoadWeights(wasabiridge.WeightsVersion(o.Weights))
	r.wakeDriver()
}
