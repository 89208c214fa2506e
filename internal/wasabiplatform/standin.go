package wasabiplatform

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabiinstances"
	"github.com/wasabiridge/wasabiridge/internal/wasabiobject"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// Paths, buckets and credentials of the stand-in.
const (
	pathTable     = "/dynamodb"
	pathObjects   = "/s3"
	pathInstances = "/instances"
	bucketObjects = "kept"
	bucketWeights = "weights"
	standInName   = "standin"
)

// Rate limits of the stand-ins, after what the real platform is known to
// sustain.
const (
	defaultReads       = 2000
	defaultWrites      = 500
	defaultWeightReads = 20
)

// StandInOptions configures a StandIn.
type StandInOptions struct {
	Clock wasabiridge.Clock
	// Lag is how long a change takes to appear in the list of instances.
	Lag wasabiridge.Millis
	// Sleep waits for the length of an injected delay. Nil waits in real time.
	Sleep wasabifault.SleepFunc
}

// StandIn is an in-memory stand-in for the whole platform. It is safe for
// concurrent use.
type StandIn struct {
	Table     *wasabitable.Memory
	Objects   *wasabiobject.Memory
	Weights   *wasabiobject.Memory
	Instances *wasabiinstances.Memory
}

// NewStandIn returns an empty platform with the rate limits of a real one and
// no other faults.
func NewStandIn(o StandInOptions) *StandIn {
	plan := wasabifault.Plan{ReadsPerSecond: defaultReads, WritesPerSecond: defaultWrites}
	weights := wasabifault.Plan{ReadsPerSecond: defaultWeightReads}
	return &StandIn{
		Table:     wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: o.Clock, Plan: plan, Sleep: o.Sleep}),
		Objects:   wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: o.Clock, Plan: plan, Sleep: o.Sleep}),
		Weights:   wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: o.Clock, Plan: weights, Sleep: o.Sleep}),
		Instances: wasabiinstances.NewMemory(wasabiinstances.MemoryOptions{Clock: o.Clock, Lag: o.Lag, Sleep: o.Sleep}),
	}
}

// Settings returns the settings for a process that uses the stand-ins at the
// given base URL.
func (s *StandIn) Settings(base string) Settings {
	return Settings{
		TableURL: base + pathTable, Table: standInName,
		ObjectsURL: base + pathObjects, Objects: bucketObjects, Weights: bucketWeights,
		InstancesURL: base + pathInstances,
		Region:       standInName, AccessKey: standInName, SecretKey: standInName,
	}
}

// Handler serves all services. PUT "/standin/faults/{service}" sets the fault
// plan of "table", "objects", "weights" or "instances".
func (s *StandIn) Handler() http.Handler {
	r := chi.NewRouter()
	r.Handle(pathTable+"/", wasabitable.Handler(s.Table))
	r.Handle(pathTable, wasabitable.Handler(s.Table))
	objects := wasabiobject.Handler(pathObjects, map[string]*wasabiobject.Memory{
		bucketObjects: s.Objects, bucketWeights: s.Weights,
	})
	r.Handle(pathObjects+"/*", objects)
	r.Mount(pathInstances, wasabiinstances.Handler(s.Instances))
	r.Put("/standin/faults/{service}", s.setFaults)
	return r
}

func (s *StandIn) setFaults(w http.ResponseWriter, r *http.Request) {
	injectors := map[string]*wasabifault.Injector{
		"table": s.Table.Faults(), "objects": s.Objects.Faults(),
		"weights": s.Weights.Faults(), "instances": s.Instances.Faults(),
	}
	injector, ok := injectors[chi.URLParam(r, "service")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	var plan wasabifault.Plan
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	injector.SetPlan(plan)
}
