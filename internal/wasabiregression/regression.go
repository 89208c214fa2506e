// Package wasabiregression compares the scores of deployments with the floors that
// earlier code reached.
//
// A bench plays the standard days of a deployment and prints a table with a line
// for each. What is compared is the worth of the lowest day and the mean of the
// troubled ones, which are all but the quiet. A difference within the tolerance is
// noise.
//
// # Usage
//
//	floors, err := wasabiregression.Load("deploy/regression/floors.jsonc")
//	if err != nil {
//		return err
//	}
//	for _, site := range floors.Chosen(names) {
//		var score wasabiregression.Score
//		if score, err = wasabiregression.Read(output); err != nil {
//			return err
//		}
//		fmt.Println(floors.Judge(site, score))
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

// Floors is a list of deployments and what their scores must reach.
type Floors struct {
	// Tolerance is how far below its floor a figure may be.
	Tolerance float64 `json:"tolerance"`
	Sites     []Site  `json:"sites"`
}

// Site is a deployment. All figures are worth, from 0 to 1.
type Site struct {
	// File is where the deployment is described, below the folder of all.
	File string `json:"file"`
	// Troubled is the floor of the mean of all days but the quiet, Lowest that of
	// the lowest day.
	Troubled float64 `json:"troubled"`
	Lowest   float64 `json:"lowest"`
	// Retired deployments are played only when they are named.
	Retired bool `json:"retired,omitempty"`
}

// Name is the file's name without folders and its ending.
func (s Site) Name() string {
	return strings.TrimSuffix(s.File[strings.LastIndex(s.File, "/")+1:], ".toml")
}

// Load reads a file of floors. It reports ErrInvalid for a file that is missing or
// wrong.
func Load(path string) (Floors, error) {
	var f Floors
	text, err := os.ReadFile(path)
	if err != nil {
		return f, wasabiridge.ErrInvalid.Wrap(err, "regression: floors")
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
			return f, wasabiridge.ErrInvalid.New("regression: /sites/%d: lowest is above the mean of the troubled days", i)
		}
		seen[s.Name()] = true
	}
	if f.Tolerance < 0 || len(f.Sites) == 0 {
		return f, wasabiridge.ErrInvalid.New("regression: the tolerance is negative, or there are no sites")
	}
	return f, nil
}

// Chosen returns the deployments with the given names, or all that are not retired.
// It reports ErrInvalid for a name that is not listed.
func (f Floors) Chosen(names []string) ([]Site, error) {
	var out []Site
	for _, s := range f.Sites {
		if len(names) == 0 && !s.Retired || slices.Contains(names, s.Name()) {
			out = append(out, s)
		}
	}
	for _, name := range names {
		if !slices.ContainsFunc(out, func(s Site) bool { return s.Name() == name }) {
			return nil, wasabiridge.ErrInvalid.New("regression: no site %s is listed", name)
		}
	}
	return out, nil
}

// Day is the worth of one standard day.
type Day struct {
	Name  string
	Worth float64
}

// Score is what the bench printed of a deployment.
type Score struct {
	Days   []Day
	Passed bool
}

// Words of the bench's table. A day that was drawn for one run has no floor.
const (
	tableHead  = "day "
	drawnDay   = "fresh-"
	quietDay   = "quiet-"
	gatePassed = "GATE passed"
	worthField = 3
)

// Read takes the table from the bench's output. It reports ErrInvalid when there is
// none, or a line has no figure.
func Read(output string) (Score, error) {
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
		case len(fields) <= worthField || !strings.Contains(fields[1], "/"):
			inTable = false
		case strings.HasPrefix(fields[0], drawnDay):
		default:
			worth, err := strconv.ParseFloat(fields[worthField], 64)
			if err != nil {
				return s, wasabiridge.ErrInvalid.Wrap(err, "regression: worth of %s", fields[0])
			}
			s.Days = append(s.Days, Day{Name: fields[0], Worth: worth})
		}
	}
	if len(s.Days) == 0 {
		return s, wasabiridge.ErrInvalid.New("regression: the bench printed no table of days")
	}
	return s, nil
}

// Troubled is the mean worth of all days but the quiet.
func (s Score) Troubled() float64 {
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

// Lowest is the day with the least worth.
func (s Score) Lowest() Day {
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

// Verdict is what came of one deployment.
type Verdict struct {
	Site  Site
	Score Score
	// Fallen names what is below its floor, and by how much.
	Fallen []string
}

// Judge compares a score with the floors of its deployment.
func (f Floors) Judge(site Site, s Score) Verdict {
	v := Verdict{Site: site, Score: s}
	if !s.Passed {
		v.Fallen = append(v.Fallen, "the gate is not passed")
	}
	check := func(what string, reached, floor float64) {
		if reached < floor-f.Tolerance {
			v.Fallen = append(v.Fallen, fmt.Sprintf("%s %.3f is %.3f below %.3f", what, reached, floor-reached, floor))
		}
	}
	check("troubled mean", s.Troubled(), site.Troubled)
	lowest := s.Lowest()
	check(lowest.Name, lowest.Worth, site.Lowest)
	return v
}

// String returns one line.
func (v Verdict) String() string {
	lowest := v.Score.Lowest()
	line := fmt.Sprintf("%-24s troubled %.3f (floor %.3f)  lowest %s %.3f (floor %.3f)",
		v.Site.Name(), v.Score.Troubled(), v.Site.Troubled, lowest.Name, lowest.Worth, v.Site.Lowest)
	if len(v.Fallen) == 0 {
		return line + "  holds"
	}
	return line + "  FELL: " + strings.Join(v.Fallen, "; ")
}
