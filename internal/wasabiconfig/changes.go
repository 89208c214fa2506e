package wasabiconfig

import (
	"fmt"
	"reflect"

	"github.com/wasabiridge/wasabiridge"
)

// Changes describes the differences between two configurations, one line for each
// changed account, pool and rule, and one each for the order of the rules, the targets
// and the operator keys.
func Changes(from, to wasabiridge.Config) []string {
	var lines []string
	lines = append(lines, compareItems("account", accountItems(from), accountItems(to))...)
	lines = append(lines, compareItems("pool", poolItems(from), poolItems(to))...)
	lines = append(lines, compareItems("rule", ruleItems(from), ruleItems(to))...)
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

// item is one account, pool or rule of a configuration.
type item struct {
	name  string
	value any
}

func accountItems(c wasabiridge.Config) []item {
	all := make([]item, len(c.Accounts))
	for i, a := range c.Accounts {
		all[i] = item{name: string(a.ID), value: a}
	}
	return all
}

func poolItems(c wasabiridge.Config) []item {
	all := make([]item, len(c.Pools))
	for i, p := range c.Pools {
		all[i] = item{name: string(p.ID), value: p}
	}
	return all
}

func ruleItems(c wasabiridge.Config) []item {
	all := make([]item, len(c.Rules))
	for i, r := range c.Rules {
		all[i] = item{name: string(r.ID), value: r}
	}
	return all
}

// compareItems compares items by name and returns a line for each difference, additions
// and changes first, in the order of the lists.
func compareItems(kind string, from, to []item) []string {
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
