package wasabiconfig

import (
	"fmt"
	"reflect"

	"github.com/wasabiridge/wasabiridge"
)

// Changes names what differs between two configurations, one line for each
// account, pool, rule and group of targets.
func Changes(from, to wasabiridge.Config) []string {
	var lines []string
	lines = append(lines, parts("account", accountParts(from), accountParts(to))...)
	lines = append(lines, parts("pool", poolParts(from), poolParts(to))...)
	lines = append(lines, parts("rule", ruleParts(from), ruleParts(to))...)
	if len(lines) == 0 && !reflect.DeepEqual(from.Rules, to.Rules) {
		lines = append(lines, "order of the rules changed")
	}
	if !reflect.DeepEqual(from.Targets, to.Targets) {
		lines = append(lines, "targets changed")
	}
	if !reflect.DeepEqual(from.OperatorKeyHashes, to.OperatorKeyHashes) {
		lines = append(lines, "operator keys changed")
	}
	return lines
}

// part is one named piece of a configuration.
type part struct {
	name  string
	value any
}

func accountParts(c wasabiridge.Config) []part {
	all := make([]part, len(c.Accounts))
	for i, a := range c.Accounts {
		all[i] = part{name: string(a.ID), value: a}
	}
	return all
}

func poolParts(c wasabiridge.Config) []part {
	all := make([]part, len(c.Pools))
	for i, p := range c.Pools {
		all[i] = part{name: string(p.ID), value: p}
	}
	return all
}

func ruleParts(c wasabiridge.Config) []part {
	all := make([]part, len(c.Rules))
	for i, r := range c.Rules {
		all[i] = part{name: string(r.ID), value: r}
	}
	return all
}

// parts compares pieces by name, in the order of both lists.
func parts(kind string, from, to []part) []string {
	before := map[string]any{}
	for _, p := range from {
		before[p.name] = p.value
	}
	after := map[string]bool{}
	var lines []string
	for _, p := range to {
		after[p.name] = true
		if old, ok := before[p.name]; !ok {
			lines = append(lines, fmt.Sprintf("%s %q added", kind, p.name))
		} else if !reflect.DeepEqual(old, p.value) {
			lines = append(lines, fmt.Sprintf("%s %q changed", kind, p.name))
		}
	}
	for _, p := range from {
		if !after[p.name] {
			lines = append(lines, fmt.Sprintf("%s %q removed", kind, p.name))
		}
	}
	return lines
}
