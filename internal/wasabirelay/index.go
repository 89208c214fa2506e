package wasabirelay

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// hostOf returns the host of the request without its port and in lower case, the form
// in which rules name hosts.
func hostOf(r *http.Request) string {
	host := strings.ToLower(r.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// ruleIndex finds rules by host, so that a request is not matched against hundreds of
// rules for other hosts. The index is rebuilt when the configuration changes. The zero
// value is ready to use. It is safe for concurrent use.
type ruleIndex struct {
	table atomic.Pointer[ruleTable]
}

type ruleTable struct {
	config *wasabiridge.Config
	byHost map[string]wasabiridge.Config
	any    wasabiridge.Config
}

func (x *ruleIndex) find(cfg *wasabiridge.Config, host, path string) (wasabiridge.Rule, bool) {
	t := x.table.Load()
	if t == nil || t.config != cfg {
		t = newRuleTable(cfg)
		x.table.Store(t)
	}
	rules, ok := t.byHost[host]
	if !ok {
		rules = t.any
	}
	return wasabirule.Match(rules, wasabirule.RequestView{Host: host, Path: path})
}

// newRuleTable groups the rules by host and keeps their order within each group. Rules
// without a host are part of every group.
func newRuleTable(cfg *wasabiridge.Config) *ruleTable {
	t := &ruleTable{config: cfg, byHost: map[string]wasabiridge.Config{}}
	for _, rule := range cfg.Rules {
		if rule.When.Host == "" {
			t.any.Rules = append(t.any.Rules, rule)
		} else {
			t.byHost[rule.When.Host] = wasabiridge.Config{}
		}
	}
	for _, rule := range cfg.Rules {
		for host, list := range t.byHost {
			if rule.When.Host == "" || rule.When.Host == host {
				list.Rules = append(list.Rules, rule)
				t.byHost[host] = list
			}
		}
	}
	return t
}
