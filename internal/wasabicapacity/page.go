package wasabicapacity

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const head = `# Capacity

What one node spends at the target's size, worked out from slopes that were
measured on one machine. Each figure is a straight line through measured points,
evaluated at the target; how far that is beyond the largest size measured is
said with it. Made by

    go run ./cmd/wasabictl capacity --dir docs/capacity --out docs/CAPACITY.md

from the files in docs/capacity; a test compares this page with them.

`

// maxNamedRoles is how many roles are listed for an exceeded budget.
const maxNamedRoles = 3

// cost is the sum of a resource over all roles, with the contribution of each.
type cost struct {
	value float64
	roles map[string]float64
}

// Page returns the text of docs/CAPACITY.md.
func Page(roles []Role) (string, error) {
	control, data, err := sums(roles)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString(head)
	writeShortfalls(&b, control)
	if err := writeUncertain(&b, roles); err != nil {
		return "", err
	}
	if missing := missingRoles(roles); len(missing) > 0 {
		fmt.Fprintf(&b, "- Not measured, so not in the sums: %s.\n", strings.Join(missing, ", "))
	}
	b.WriteString("\n")
	writeSums(&b, control, data)
	writeTargets(&b)
	for _, r := range roles {
		if err := writeRole(&b, r); err != nil {
			return "", err
		}
	}
	return b.String(), nil
}

func sums(roles []Role) (control, data map[Resource]cost, err error) {
	control, data = map[Resource]cost{}, map[Resource]cost{}
	for _, r := range roles {
		totals := control
		if r.Plane == Data {
			totals = data
		}
		for _, m := range r.Measures {
			var f Fit
			if f, err = m.Fit(); err != nil {
				return nil, nil, err
			}
			s := totals[m.Resource]
			if s.roles == nil {
				s.roles = map[string]float64{}
			}
			s.value += f.Value
			s.roles[r.Role] += f.Value
			totals[m.Resource] = s
		}
	}
	return control, data, nil
}

func writeShortfalls(b *strings.Builder, control map[Resource]cost) {
	b.WriteString("## What does not fit yet\n\n")
	found := false
	for _, r := range resources {
		entry := budgets[r]
		s := control[r]
		if entry.limit == 0 || s.value <= entry.limit {
			continue
		}
		found = true
		fmt.Fprintf(b, "- %s: %s against %s, %.1f times too much. Most of it: %s.\n",
			entry.name, entry.show(s.value), entry.text, s.value/entry.limit, largestRoles(s, entry.show))
	}
	if !found {
		b.WriteString("- Nothing that was measured exceeds its budget.\n")
	}
}

// writeUncertain lists costs that stop growing at a bound, and values whose points
// are not on a line.
func writeUncertain(b *strings.Builder, roles []Role) error {
	for _, r := range roles {
		for _, m := range r.Measures {
			f, err := m.Fit()
			if err != nil {
				return err
			}
			entry := budgets[m.Resource]
			if f.bounded() {
				fmt.Fprintf(b, "- Bounded by design, so the rest is left out or comes later: %s of %s stops growing at %.6g of %.6g %s (%.2g%%), with %s.\n",
					entry.name, r.Role, f.Size, f.Target, m.Driver, 100*f.Size/f.Target, entry.show(f.Value))
			}
			if m.notLinear(f) {
				fmt.Fprintf(b, "- Uncertain: %s of %s by %s, %s, comes from points that are not on a line (R² %.2f).\n",
					entry.name, r.Role, m.Driver, entry.show(f.Value), f.Determination)
			}
		}
	}
	return nil
}

// largestRoles lists the roles with the highest contributions to a sum.
func largestRoles(s cost, show func(float64) string) string {
	names := slices.Sorted(maps.Keys(s.roles))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(s.roles[b], s.roles[a]) })
	var parts []string
	for _, name := range names[:min(len(names), maxNamedRoles)] {
		parts = append(parts, name+" with "+show(s.roles[name]))
	}
	return strings.Join(parts, ", ")
}

func writeSums(b *strings.Builder, control, data map[Resource]cost) {
	b.WriteString("## Sums at the target\n\n| resource | control | budget | left | carrying requests (no budget) |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range resources {
		entry := budgets[r]
		remaining := "-"
		if entry.limit > 0 {
			remaining = fmt.Sprintf("%.0f%%", 100*(1-control[r].value/entry.limit))
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", entry.name, entry.show(control[r].value), entry.text, remaining, entry.show(data[r].value))
	}
	b.WriteString("\n")
}

func writeTargets(b *strings.Builder) {
	b.WriteString("## The target\n\n")
	for _, d := range slices.Sorted(maps.Keys(targets)) {
		fmt.Fprintf(b, "- `%s`: %s\n", d, targets[d].text)
	}
	b.WriteString("\nFigures of the store are totals over all nodes; all others are for one node.\n\n")
}

func writeRole(b *strings.Builder, r Role) error {
	title := strings.ToUpper(r.Role[:1]) + r.Role[1:]
	fmt.Fprintf(b, "## %s\n\n%s\n\nMeasured by `%s`.\n\n", title, r.Mechanism, r.Command)
	if len(r.Measures) == 0 {
		return nil
	}
	b.WriteString("| resource | by | measured (size: value) | line | R² | at the target | beyond the largest size |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	var notes []string
	for _, m := range r.Measures {
		f, err := m.Fit()
		if err != nil {
			return err
		}
		show := budgets[m.Resource].show
		fmt.Fprintf(b, "| %s | %s | %s | %.4g + %.4g x | %.3f | %s at %.6g | %s |\n", budgets[m.Resource].name, m.Driver,
			pointsText(m.Points), f.Base, f.Slope, f.Determination, show(f.Value), f.Size, extrapolation(f))
		if m.Note != "" {
			notes = append(notes, m.Note)
		}
	}
	b.WriteString("\n")
	for _, n := range notes {
		fmt.Fprintf(b, "- %s\n", n)
	}
	if len(notes) > 0 {
		b.WriteString("\n")
	}
	return nil
}

func pointsText(points []Point) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = fmt.Sprintf("%.6g: %.4g", p.Size, p.Value)
	}
	return strings.Join(texts, ", ")
}

func extrapolation(f Fit) string {
	if f.bounded() {
		return fmt.Sprintf("bound; target %.6g", f.Target)
	}
	if f.Size <= f.Largest {
		return "within"
	}
	return fmt.Sprintf("%.3g times", f.Size/f.Largest)
}
