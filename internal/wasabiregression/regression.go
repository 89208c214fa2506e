// Package wasabiregression compares the scores of deployments with floors, which
// are scores that earlier versions of the code reached.
//
// An external bench program runs the standard days of a deployment, which are its
// load scenarios, and prints a table with one line per day. The worth column is a
// score from 0 to 1. Two figures are compared with a floor: the lowest worth of a
// day, and the mean worth of the troubled days, which are all days except the
// quiet ones. A difference within the tolerance is noise.
//
// # Usage
//
//	floors, err := wasabiregression.Load("deploy/regression/floors.jsonc")
//	if err != nil {
//		return err
//	}
//	sites, err := floors.Select(names)
//	if err != nil {
//		return err
//	}
//	for _, site := range sites {
//		var score wasabiregression.Score
//		if score, err = wasabiregression.ParseScore(output); err != nil {
//			return err
//		}
//		fmt.Println(floors.Check(site, score))
//	}
package wasabiregression

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabidocument"
)

// Floors is a list of deployments with the floors of their scores.
type Floors struct {
	// Tolerance is how far a figure may be below its floor.
	Tolerance float64 `json:"tolerance"`
	Sites     []Site  `json:"sites"`
}

// Site is a deployment with its floors, which are worths from 0 to 1.
type Site struct {
	// File is the path of the description of the deployment, relative to the
	// directory of all descriptions.
	File string `json:"file"`
	// Troubled is the floor of the mean of all days except the quiet ones, Lowest
	// that of the lowest day.
	Troubled float64 `json:"troubled"`
	Lowest   float64 `json:"lowest"`
	// Retired deployments are run only if they are selected by name.
	Retired bool `json:"retired,omitempty"`
}

// Name returns the name of the file without directories and the extension .toml.
func (s Site) Name() string {
	return strings.TrimSuffix(s.File[strings.LastIndex(s.File, "/")+1:], ".toml")
}

// Load reads a file of floors. It reports ErrInvalid for a file that is missing or
// invalid.
func Load(path string) (Floors, error) {
	var f Floors
	text, err := os.ReadFile(path)
	if err != nil {
		return f, wasabiridge.ErrInvalid.Wrap(err, "regression: read floors")
	}
	if err = wasabidocument.Decode(text, &f); err != nil {
		return f, err
	}
	seen := map[string]bool{}
	for i, s := range f.Sites {
		switch {
		case s.File == "":
			return f, wasabiridge.ErrInvalid.New("regression: /sites/%d/file: missing", i)
		case seen[s.Name()]:
			return f, wasabiridge.ErrInvalid.New("regression: /sites/%d/file: %s is listed twice", i, s.Name())
		case s.Lowest > s.Troubled:
			return f, wasabiridge.ErrInvalid.New("regression: /sites/%d: lowest is above the mean of the troubled days: %g > %g", i, s.Lowest, s.Troubled)
		}
		seen[s.Name()] = true
	}
	if f.Tolerance < 0 || len(f.Sites) == 0 {
		return f, wasabiridge.ErrInvalid.New("regression: the tolerance is negative (%g), or there are no sites (%d)", f.Tolerance, len(f.Sites))
	}
	return f, nil
}

// Select returns the deployments with the given names. Without names, it returns
// all deployments that are not retired.
// It reports ErrInvalid for a name that is not listed.
func (f Floors) Select(names []string) ([]Site, error) {
	var out []Site
	for _, s := range f.Sites {
		if len(names) == 0 && !s.Retired || slices.Contains(names, s.Name()) {
			out = append(out, s)
		}
	}
	for _, name := range names {
		if !slices.ContainsFunc(out, func(s Site) bool { return s.Name() == name }) {
			return nil, wasabiridge.ErrInvalid.New("regression: site %s is not in the list of floors", name)
		}
	}
	return out, nil
}

// Day is the result of one standard day.
type Day struct {
	Name  string
	Worth float64
}

// Score is the result that the bench printed for a deployment.
type Score struct {
	Days []Day
	// Passed is whether the bench reported that its gate passed.
	Passed bool
}

// Markers in the output of the bench.
const (
	tableHead = "day "
	// randomDay starts the name of a day that the bench generated at random for
	// this run. It is not part of the score, because it has no floor.
	randomDay  = "fresh-"
	quietDay   = "quiet-"
	gatePassed = "GATE passed"
	// worthColumn is the index of the worth in the fields of a table row.
	worthColumn = 3
)

// ParseScore parses the output of the bench. It reports ErrInvalid if there is no table,
// or if a row has no valid worth.
func ParseScore(output string) (Score, error) {
	var s Score
	inTable := false
	for line := range strings.Lines(output) {
		line = strings.TrimRight(line, "\n")
		fields := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, tableHead) && strings.Contains(line, "worth"):
			inTable = true
		case strings.HasPrefix(line, gatePassed):
			s.Passed = true
		case !inTable:
		case len(fields) <= worthColumn || !strings.Contains(fields[1], "/"):
			inTable = false
		case strings.HasPrefix(fields[0], randomDay):
		default:
			worth, err := strconv.ParseFloat(fields[worthColumn], 64)
			if err != nil {
				return s, wasabiridge.ErrInvalid.Wrap(err, "regression: invalid worth of day %s", fields[0])
			}
			s.Days = append(s.Days, Day{Name: fields[0], Worth: worth})
		}
	}
	if len(s.Days) == 0 {
		return s, wasabiridge.ErrInvalid.New("regression: the output of the bench has no table of days")
	}
	return s, nil
}

// TroubledMean returns the mean worth of all days except the quiet ones, or zero if
// there are none.
func (s Score) TroubledMean() float64 {
	sum, n := 0.0, 0
	for _, d := range s.Days {
		if !strings.HasPrefix(d.Name, quietDay) {
			sum, n = sum+d.Worth, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// LowestDay returns the day with the lowest worth. It panics if there are no days.
func (s Score) LowestDay() Day {
	return slices.MinFunc(s.Days, func(a, b Day) int {
		switch {
		case a.Worth < b.Worth:
			return -1
		case a.Worth > b.Worth:
			return 1
		}
		return 0
	})
}

// Verdict is the result of the comparison for one deployment.
type Verdict struct {
	Site  Site
	Score Score
	// Failures describes each figure that is below its floor by more than the
	// tolerance, and a gate that did not pass. It is empty if the floors hold.
	Failures []string
}

// Check compares a score with the floors of its deployment.
func (f Floors) Check(site Site, s Score) Verdict {
	v := Verdict{Site: site, Score: s}
	if !s.Passed {
		v.Failures = append(v.Failures, "the gate is not passed")
	}
	check := func(name string, reached, floor float64) {
		if reached < floor-f.Tolerance {
			v.Failures = append(v.Failures, fmt.Sprintf("%s %.3f is %.3f below %.3f", name, reached, floor-reached, floor))
		}
	}
	check("troubled mean", s.TroubledMean(), site.Troubled)
	lowest := s.LowestDay()
	check(lowest.Name, lowest.Worth, site.Lowest)
	return v
}

// String returns the verdict as one line of text, with scores and floors.
func (v Verdict) String() string {
	lowest := v.Score.LowestDay()
	line := fmt.Sprintf("%-24s troubled %.3f (floor %.3f)  lowest %s %.3f (floor %.3f)",
		v.Site.Name(), v.Score.TroubledMean(), v.Site.Troubled, lowest.Name, lowest.Worth, v.Site.Lowest)
	if len(v.Failures) == 0 {
		return line + "  holds"
	}
	return line + "  FELL: " + strings.Join(v.Failures, "; ")
}
