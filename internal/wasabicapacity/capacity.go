// Package wasabicapacity extrapolates the resource usage of an instance at the
// target size from measurements at smaller sizes.
//
// The files in docs/capacity contain the measured points of one or more roles. A
// straight line is fitted to the points of each measure by linear regression and
// evaluated at the target size. The page docs/CAPACITY.md is generated from the
// results; a test compares it with them, so that it cannot become outdated.
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

// minDistinctSizes is the minimum number of distinct sizes for a fit.
const minDistinctSizes = 3

// Resource is a kind of resource usage.
type Resource string

// Resources. StoreWrites and StoreReads are totals over all instances, the others
// are values of one instance.
const (
	CPU         Resource = "cpu_core_share"
	Memory      Resource = "memory_bytes"
	Bytes       Resource = "bytes_per_second"
	Messages    Resource = "messages_per_second"
	StoreWrites Resource = "store_writes_per_second"
	StoreReads  Resource = "store_reads_per_second"
)

// isTotal reports whether a resource is a total over all instances.
func (r Resource) isTotal() bool { return r == StoreWrites || r == StoreReads }

// Driver is the size on which a cost depends, such as "instances".
type Driver string

// Plane distinguishes the costs of control from those of relaying requests.
type Plane string

// Planes. The budgets of the target are for Control only.
const (
	Control Plane = "control"
	Data    Plane = "data"
)

// Role holds the measured costs of one part of the system.
type Role struct {
	Role string `json:"role"`
	// Plane is Control when it is empty.
	Plane Plane `json:"plane,omitempty"`
	// Mechanism describes in one sentence by what means the role scales to the
	// target size.
	Mechanism string `json:"mechanism"`
	// Command is the shell command that runs the measurement.
	Command  string    `json:"command"`
	Measures []Measure `json:"measures"`
}

// Measure is the cost in one resource as a function of one driver.
type Measure struct {
	Resource Resource `json:"resource"`
	Driver   Driver   `json:"driver"`
	Note     string   `json:"note,omitempty"`
	// Share is the fraction of the target size that one instance handles. Zero
	// means all of it. Note gives the reason.
	Share float64 `json:"share,omitempty"`
	// Bound is the size at which the part of the system and thus its cost stop
	// growing by design. Zero means none. Load beyond the bound is not handled.
	Bound float64 `json:"bound,omitempty"`
	// LevelsOff means that the points were measured with the bound in effect, so
	// that the points beyond it show the constant cost.
	LevelsOff bool    `json:"levels_off,omitempty"`
	Points    []Point `json:"points"`
}

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the regression line of the points of a measure, Base + Slope * size.
type Fit struct {
	Base, Slope float64
	// Determination is the coefficient of determination, R². It is 1 if all
	// values are equal.
	Determination float64
	// Largest is the largest measured size.
	Largest float64
	// Size is the target size, or the bound if that is lower, and Value the cost
	// at that size.
	Size, Value float64
	// Target is the target size without the bound.
	Target float64
}

// bounded reports whether the bound is below the target size.
func (f Fit) bounded() bool { return f.Size < f.Target }

// Load reads the roles in all JSON files of a directory and sorts them by name. The
// error is ErrNotFound if there are no files, and ErrInvalid if one is invalid.
func Load(directory string) ([]Role, error) {
	var (
		paths []string
		err   error
	)
	if paths, err = filepath.Glob(filepath.Join(directory, "*.json")); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "capacity: %s", directory)
	}
	if len(paths) == 0 {
		return nil, wasabiridge.ErrNotFound.New("capacity: no JSON files with measurements in %s", directory)
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

// loadFile reads a file that contains one role or a list of roles.
func loadFile(path string) ([]Role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, wasabiridge.ErrNotFound.Wrap(err, "capacity: read measurements")
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

// Fit fits a line to the points and evaluates it at the target size. The error is
// ErrInvalid for an unknown resource or driver and for fewer than three distinct
// sizes. Negative values are raised to 0.
func (m Measure) Fit() (Fit, error) {
	target, known := targets[m.Driver]
	if _, listed := budgets[m.Resource]; !listed || !known {
		return Fit{}, wasabiridge.ErrInvalid.New("unknown resource %q or driver %q", m.Resource, m.Driver)
	}
	sizes, values := make([]float64, len(m.Points)), make([]float64, len(m.Points))
	distinct := map[float64]bool{}
	f := Fit{Size: target.perInstance}
	if m.Resource.isTotal() {
		f.Size = target.total
	}
	if m.Share > 0 {
		f.Size *= m.Share
	}
	for i, p := range m.Points {
		sizes[i], values[i] = p.Size, p.Value
		distinct[p.Size] = true
		f.Largest = max(f.Largest, p.Size)
	}
	if len(distinct) < minDistinctSizes {
		return Fit{}, wasabiridge.ErrInvalid.New("%s by %s: %d distinct sizes; a fit needs at least %d", m.Resource, m.Driver, len(distinct), minDistinctSizes)
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
		f.Value = max(f.Value, m.maxValueFrom(f.Size))
	}
	return f, nil
}

// maxValueFrom returns the highest value that was measured at the given size or a
// larger one.
func (m Measure) maxValueFrom(size float64) float64 {
	highest := 0.0
	for _, p := range m.Points {
		if p.Size >= size {
			highest = max(highest, p.Value)
		}
	}
	return highest
}

// Limits of a reliable fit.
const (
	minDetermination = 0.9
	maxLevelSpread   = 0.1
)

// notLinear reports whether the points are not on a line, so that the extrapolated
// value is unreliable. Points that differ by at most maxLevelSpread count as
// constant and reliable: their R² is low although the line fits. Values at a bound
// are not extrapolated and thus always reliable.
func (m Measure) notLinear(f Fit) bool {
	lowest, highest := m.Points[0].Value, m.Points[0].Value
	for _, p := range m.Points {
		lowest, highest = min(lowest, p.Value), max(highest, p.Value)
	}
	return !f.bounded() && highest-lowest > maxLevelSpread*highest && f.Determination < minDetermination
}

// missingRoles returns the required roles without measurements.
func missingRoles(roles []Role) []string {
	measured := map[string]bool{}
	for _, r := range roles {
		name := strings.ToLower(r.Role)
		if other, found := roleAliases[name]; found {
			name = other
		}
		measured[name] = true
	}
	var missing []string
	for _, name := range requiredRoles {
		if !measured[name] {
			missing = append(missing, name)
		}
	}
	return missing
}
