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

// namedRoles is how many roles a shortfall names.
const namedRoles = 3

// spent is the sum of a resource over roles.
type spent struct {
	value float64
	roles map[string]float64
}

// Page returns docs/CAPACITY.md.
func Page(roles []Role) (string, error) {
	control, data, err := sums(roles)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString(head)
	writeShortfalls(&b, control)
	if err := writeDoubts(&b, roles); err != nil {
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

func sums(roles []Role) (control, data map[Resource]spent, err error) {
	control, data = map[Resource]spent{}, map[Resource]spent{}
	for _, r := range roles {
		into := control
		if r.Plane == Data {
			into = data
		}
		for _, m := range r.Measures {
			var f Fit
			if f, err = m.Fit(); err != nil {
				return nil, nil, err
			}
			s := into[m.Resource]
			if s.roles == nil {
				s.roles = map[string]float64{}
			}
			s.value += f.Value
			s.roles[r.Role] += f.Value
			into[m.Resource] = s
		}
	}
	return control, data, nil
}

func writeShortfalls(b *strings.Builder, control map[Resource]spent) {
	b.WriteString("## What does not fit yet\n\n")
	found := false
	for _, r := range resources {
		limit := budgets[r]
		s := control[r]
		if limit.limit == 0 || s.value <= limit.limit {
			continue
		}
		found = true
		fmt.Fprintf(b, "- %s: %s against %s, %.1f times too much. Most of it: %s.\n",
			limit.name, limit.show(s.value), limit.text, s.value/limit.limit, largest(s, limit.show))
	}
	if !found {
		b.WriteString("- Nothing that was measured exceeds its budget.\n")
	}
}

// writeDoubts names costs that stop growing at a bound, and figures whose
// points do not lie on a line.
func writeDoubts(b *strings.Builder, roles []Role) error {
	for _, r := range roles {
		for _, m := range r.Measures {
			f, err := m.Fit()
			if err != nil {
				return err
			}
			limit := budgets[m.Resource]
			if f.bounded() {
				fmt.Fprintf(b, "- Bounded by design, so the rest is left out or comes later: %s of %s stops growing at %.6g of %.6g %s (%.2g%%), with %s.\n",
					limit.name, r.Role, f.Size, f.Target, m.Driver, 100*f.Size/f.Target, limit.show(f.Value))
			}
			if m.poor(f) {
				fmt.Fprintf(b, "- Uncertain: %s of %s by %s, %s, comes from points that are not on a line (R² %.2f).\n",
					limit.name, r.Role, m.Driver, limit.show(f.Value), f.Determination)
			}
		}
	}
	return nil
}

// largest names the roles with the highest parts of a sum.
func largest(s spent, show func(float64) string) string {
	names := slices.Sorted(maps.Keys(s.roles))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(s.roles[b], s.roles[a]) })
	var parts []string
	for _, name := range names[:min(len(names), namedRoles)] {
		parts = append(parts, name+" with "+show(s.roles[name]))
	}
	return strings.Join(parts, ", ")
}

func writeSums(b *strings.Builder, control, data map[Resource]spent) {
	b.WriteString("## Sums at the target\n\n| resource | control | budget | left | carrying requests (no budget) |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range resources {
		limit := budgets[r]
		left := "-"
		if limit.limit > 0 {
			left = fmt.Sprintf("%.0f%%", 100*(1-control[r].value/limit.limit))
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", limit.name, limit.show(control[r].value), limit.text, left, limit.show(data[r].value))
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
			pointsText(m.Points), f.Base, f.Slope, f.Determination, show(f.Value), f.Size, beyond(f))
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

func beyond(f Fit) string {
	if f.bounded() {
		return fmt.Sprintf("bound; target %.6g", f.Target)
	}
	if f.Size <= f.Largest {
		return "within"
	}
	return fmt.Sprintf("%.3g times", f.Size/f.Largest)
}
