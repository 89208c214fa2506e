package wasabitest

import (
	"reflect"
	"sort"
)

// Names returns the names of a table of cases, a map with string keys, in
// order. Specs are built in that order, so that every run builds the same
// tree.
func Names(table any) []string {
	keys := reflect.ValueOf(table).MapKeys()
	names := make([]string, len(keys))
	for i, key := range keys {
		names[i] = key.String()
	}
	sort.Strings(names)
	return names
}
