package wasabicapacity

import "fmt"

// The target size, for the whole system. targetTokens is in tokens per second and
// targetTokenGap in seconds between the tokens of a stream; targetConfigChange is
// per day.
const (
	targetInstances    = 370.0
	targetReplicas     = 1600.0
	targetRequests     = 9300.0
	targetTokens       = 2.2e6
	targetTokenGap     = 0.035
	targetBlocks       = 100e6
	targetCacheEvents  = 1.1e6
	targetAccounts     = 40_000.0
	targetConfigChange = 2900.0
)

// targetSize is the value of a driver at the target size, for one instance and in
// total.
type targetSize struct {
	perInstance, total float64
	text               string
}

// openStreams is the number of concurrent streams that produce the tokens per
// second with the time between tokens.
const openStreams = targetTokens * targetTokenGap

var targets = map[Driver]targetSize{
	"instances":               {targetInstances, targetInstances, "370 nodes"},
	"replicas":                {targetReplicas, targetReplicas, "1,600 replicas"},
	"requests_per_second":     {targetRequests / targetInstances, targetRequests, "9,300 requests/s, 25.1 for a node"},
	"known_blocks":            {targetBlocks, targetBlocks, "100 M cached blocks"},
	"cache_events_per_second": {targetCacheEvents, targetCacheEvents, "1.1 M cache events/s"},
	"accounts":                {targetAccounts, targetAccounts, "40,000 client accounts"},
	"config_changes_per_day":  {targetConfigChange, targetConfigChange, "2,900 changes a day"},
	"open_streams":            {openStreams / targetInstances, openStreams, "2.2 M tokens/s at 35 ms, 208 streams for a node"},
}

// budget is the maximum of a resource at the target size, without request
// relaying.
type budget struct {
	name string
	// limit is zero if the target has none.
	limit float64
	text  string
	show  func(float64) string
}

var budgets = map[Resource]budget{
	CPU:         {"processor time", 0.043, "4.3% of a core", func(v float64) string { return fmt.Sprintf("%.3f%%", 100*v) }},
	Memory:      {"memory", 128e6, "128 MB", func(v float64) string { return fmt.Sprintf("%.2f MB", v/1e6) }},
	Bytes:       {"control traffic", 3000, "3 KB/s", func(v float64) string { return fmt.Sprintf("%.3f KB/s", v/1e3) }},
	Messages:    {"messages", 0, "none named", func(v float64) string { return fmt.Sprintf("%.2f/s", v) }},
	StoreWrites: {"store writes, all nodes", 300, "several hundred/s, taken as 300", func(v float64) string { return fmt.Sprintf("%.2f/s", v) }},
	StoreReads:  {"store reads, all nodes", 2000, "about 2,000/s", func(v float64) string { return fmt.Sprintf("%.2f/s", v) }},
}

// resources lists all resources in the order of the page.
var resources = []Resource{CPU, Memory, Bytes, Messages, StoreWrites, StoreReads}

// requiredRoles are the roles that the page must cover. Those without measurements
// are listed as missing.
var requiredRoles = []string{
	"relaying", "placing", "cache picture", "load picture", "configuration", "membership",
	"claims", "leases and orders", "time line", "outcomes", "addresses",
}

// roleAliases maps alternative role names in the measurements to required roles.
var roleAliases = map[string]string{
	"placement":           "placing",
	"relay to callers":    "relaying",
	"leases and rollouts": "leases and orders",
	"backend intake":      "load picture",
}
