// Package wasabicapacity works out what a node spends at the target's size from
// slopes that were measured at smaller sizes.
//
// Each role has one file in docs/capacity with the points that were measured.
// A straight line is fitted through the points of each measure and evaluated
// at the target. The page docs/CAPACITY.md is made from that; a test compares
// both, so that the page cannot drift from the measurements.
//
// # Usage
//
//	roles, err := wasabicapacity.Load("docs/capacity")
//	page, err := wasabicapacity.Page(roles)
package wasabicapacity

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gonum.org/v1/gonum/stat"

	"github.com/wasabiridge/wasabiridge"
)

// minSizes is how many different sizes a slope needs.
const minSizes = 3

// Resource names what is spent.
type Resource string

// Resources. Those of the store are totals over all nodes, the others are for
// one node.
const (
	CPU         Resource = "cpu_core_share"
	Memory      Resource = "memory_bytes"
	Bytes       Resource = "bytes_per_second"
	Messages    Resource = "messages_per_second"
	StoreWrites Resource = "store_writes_per_second"
	StoreReads  Resource = "store_reads_per_second"
)

// ofStore reports whether a resource is a total over all nodes.
func (r Resource) ofStore() bool { return r == StoreWrites || r == StoreReads }

// Driver names what a cost grows with.
type Driver string

// Plane tells whether a cost is for control or for carrying requests.
type Plane string

// Planes. Only control has a budget in the target.
const (
	Control Plane = "control"
	Data    Plane = "data"
)

// Role is what one part of the system costs.
type Role struct {
	Role string `json:"role"`
	// Plane is Control when it is empty.
	Plane Plane `json:"plane,omitempty"`
	// Mechanism tells in one sentence what carries the role at the target.
	Mechanism string `json:"mechanism"`
	// Command repeats the measurement.
	Command  string    `json:"command"`
	Measures []Measure `json:"measures"`
}

// Measure is one cost by size.
type Measure struct {
	Resource Resource `json:"resource"`
	Driver   Driver   `json:"driver"`
	Note     string   `json:"note,omitempty"`
	// Share is the part of the target's size that one node carries. Zero
	// means all of it. The note says why.
	Share float64 `json:"share,omitempty"`
	// Bound is the size at which the part stops growing by design, and with it
	// its cost. Zero means none. What lies beyond is not carried.
	Bound float64 `json:"bound,omitempty"`
	// LevelsOff says that the points were measured with the bound in force, so
	// that those beyond it show the level.
	LevelsOff bool    `json:"levels_off,omitempty"`
	Points    []Point `json:"points"`
}

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a straight line through the points of a measure.
type Fit struct {
	Base, Slope float64
	// Determination is the share of the variance that the line explains.
	Determination float64
	// Largest is the largest size that was measured.
	Largest float64
	// Size is the size at the target or the bound below it, and Value the cost
	// there.
	Size, Value float64
	// Target is the size at the target, whether it is carried or not.
	Target float64
}

// bounded reports whether the part carries less than the target asks for.
func (f Fit) bounded() bool { return f.Size < f.Target }

// Load reads all roles of a directory, in the order of their names.
func Load(directory string) ([]Role, error) {
	var (
		paths []string
		err   error
	)
	if paths, err = filepath.Glob(filepath.Join(directory, "*.json")); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "capacity: %s", directory)
	}
	if len(paths) == 0 {
		return nil, wasabiridge.ErrNotFound.New("capacity: %s holds no measurements", directory)
	}
	roles := make([]Role, 0, len(paths))
	for _, path := range paths {
		var r []Role
		if r, err = loadFile(path); err != nil {
			return nil, err
		}
		roles = append(roles, r...)
	}
	sort.SliceStable(roles, func(i, j int) bool { return roles[i].Role < roles[j].Role })
	return roles, nil
}

// loadFile reads one role, or a list of roles.
func loadFile(path string) ([]Role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, wasabiridge.ErrNotFound.Wrap(err, "capacity")
	}
	data = bytes.TrimSpace(data)
	if !bytes.HasPrefix(data, []byte("[")) {
		data = append(append([]byte("["), data...), ']')
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var roles []Role
	if err := decoder.Decode(&roles); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "capacity: %s", path)
	}
	for _, r := range roles {
		if err := r.check(); err != nil {
			return nil, wasabiridge.ErrInvalid.Wrap(err, "capacity: %s", path)
		}
	}
	return roles, nil
}

func (r Role) check() error {
	switch {
	case r.Role == "", r.Mechanism == "", r.Command == "":
		return wasabiridge.ErrInvalid.New("role, mechanism and command must be set")
	case r.Plane != "" && r.Plane != Control && r.Plane != Data:
		return wasabiridge.ErrInvalid.New("%s: unknown plane %q", r.Role, r.Plane)
	}
	for _, m := range r.Measures {
		if _, err := m.Fit(); err != nil {
			return wasabiridge.ErrInvalid.Wrap(err, "%s", r.Role)
		}
	}
	return nil
}

// Fit puts a line through the points and evaluates it at the target. It
// reports ErrInvalid for unknown names and for fewer than three sizes.
func (m Measure) Fit() (Fit, error) {
	target, known := targets[m.Driver]
	if _, listed := budgets[m.Resource]; !listed || !known {
		return Fit{}, wasabiridge.ErrInvalid.New("unknown resource %q or driver %q", m.Resource, m.Driver)
	}
	sizes, values := make([]float64, len(m.Points)), make([]float64, len(m.Points))
	different := map[float64]bool{}
	f := Fit{Size: target.node}
	if m.Resource.ofStore() {
		f.Size = target.total
	}
	if m.Share > 0 {
		f.Size *= m.Share
	}
	for i, p := range m.Points {
		sizes[i], values[i] = p.Size, p.Value
		different[p.Size] = true
		f.Largest = max(f.Largest, p.Size)
	}
	if len(different) < minSizes {
		return Fit{}, wasabiridge.ErrInvalid.New("%s by %s: %d sizes; a slope needs %d", m.Resource, m.Driver, len(different), minSizes)
	}
	f.Base, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	f.Determination = 1
	if stat.Variance(values, nil) > 0 {
		f.Determination = stat.RSquared(sizes, values, nil, f.Base, f.Slope)
	}
	f.Target = f.Size
	if m.Bound > 0 && m.Bound < f.Size {
		f.Size = m.Bound
	}
	f.Value = max(f.Base+f.Slope*f.Size, 0)
	if f.bounded() && m.LevelsOff {
		f.Value = max(f.Value, m.highestFrom(f.Size))
	}
	return f, nil
}

// highestFrom returns the highest value that was measured at a size or beyond.
func (m Measure) highestFrom(size float64) float64 {
	highest := 0.0
	for _, p := range m.Points {
		if p.Size >= size {
			highest = max(highest, p.Value)
		}
	}
	return highest
}

// Limits of a fit that can be trusted.
const (
	goodDetermination = 0.9
	levelSpread       = 0.1
)

// poor reports whether the points do not lie on a line, so that its value far
// beyond them says little. Points that hardly differ are level and not poor.
func (m Measure) poor(f Fit) bool {
	least, most := m.Points[0].Value, m.Points[0].Value
	for _, p := range m.Points {
		least, most = min(least, p.Value), max(most, p.Value)
	}
	return !f.bounded() && most-least > levelSpread*most && f.Determination < goodDetermination
}

// missingRoles returns the roles of the target that nothing was measured for.
func missingRoles(roles []Role) []string {
	measured := map[string]bool{}
	for _, r := range roles {
		name := strings.ToLower(r.Role)
		if other, found := aliases[name]; found {
			name = other
		}
		measured[name] = true
	}
	var missing []string
	for _, name := range expected {
		if !measured[name] {
			missing = append(missing, name)
		}
	}
	return missing
}
