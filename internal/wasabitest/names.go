package wasabitest

import (
	"reflect"
	"sort"
)

// SortedKeys returns the sorted keys of a table of test cases. The table must be a map
// with string keys. Iterating over it in that order makes every run generate the
// same tree of specs.
func SortedKeys(table any) []string {
	keys := reflect.ValueOf(table).MapKeys()
	names := make([]string, len(keys))
	for i, key := range keys {
		names[i] = key.String()
	}
	sort.Strings(names)
	return names
}
