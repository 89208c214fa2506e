// Package wasabirule checks configurations and finds the rule that a request
// matches.
//
// Rules form an ordered list; the first rule whose conditions all hold applies. A
// configuration is checked as a whole: no part of an invalid one is used.
//
// # Usage
//
//	var (
//		cfg wasabiridge.Config
//		err error
//	)
//	if cfg, err = wasabirule.Parse(text); err != nil {
//		return err
//	}
//	rule, ok := wasabirule.Match(cfg, wasabirule.RequestView{Account: "liftwell", Method: "POST", Path: "/v1/completions"})
package wasabirule

import (
	"fmt"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// PriorityClassHeader is the request header that Condition.PriorityClass
// matches.
const PriorityClassHeader = "X-Priority-Class"

// RequestView holds the properties of a request that rules match on.
type RequestView struct {
	Account wasabiridge.ClientAccountID
	Method  string
	Host    string
	Path    string
	Model   wasabiridge.ModelID
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Header returns the values of a request header. Nil means that the request has no
	// headers.
	Header func(name string) []string
}

func (v RequestView) header(name string) []string {
	if v.Header == nil {
		return nil
	}
	return v.Header(name)
}

// Match returns the first rule whose conditions all hold. The result is false when no
// rule matches; such a request is refused.
func Match(cfg wasabiridge.Config, v RequestView) (wasabiridge.Rule, bool) {
	for _, rule := range cfg.Rules {
		if mismatch(rule.When, v) == "" {
			return rule, true
		}
	}
	return wasabiridge.Rule{}, false
}

// Explanation is why a rule matches a request or does not.
type Explanation struct {
	Rule    wasabiridge.RuleID `json:"rule"`
	Matches bool               `json:"matches"`
	// Why describes the first condition that does not hold. It is empty when the rule
	// matches.
	Why string `json:"why,omitempty"`
}

// Explain returns an explanation for each rule up to and including the first that
// matches.
func Explain(cfg wasabiridge.Config, v RequestView) []Explanation {
	var lines []Explanation
	for _, rule := range cfg.Rules {
		why := mismatch(rule.When, v)
		lines = append(lines, Explanation{Rule: rule.ID, Matches: why == "", Why: why})
		if why == "" {
			break
		}
	}
	return lines
}

// mismatch describes the first condition that does not hold. It returns the empty
// string when all hold.
func mismatch(c wasabiridge.Condition, v RequestView) string {
	switch {
	case len(c.Accounts) > 0 && !hasAccount(c.Accounts, v.Account):
		return fmt.Sprintf("client account is %q, not one of %q", v.Account, c.Accounts)
	case len(c.Methods) > 0 && !hasMethod(c.Methods, v.Method):
		return fmt.Sprintf("method is %q, not one of %q", v.Method, c.Methods)
	case c.Host != "" && c.Host != v.Host:
		return fmt.Sprintf("host is %q, not %q", v.Host, c.Host)
	case !pathMatches(c.Path, v.Path):
		return fmt.Sprintf("path is %q, not %q", v.Path, c.Path)
	case len(c.Models) > 0 && !hasModel(c.Models, v.Model):
		return fmt.Sprintf("model is %q, not one of %q", v.Model, c.Models)
	case v.PromptTokens < c.MinPromptTokens:
		return fmt.Sprintf("prompt has %d tokens, fewer than %d", v.PromptTokens, c.MinPromptTokens)
	case c.MaxPromptTokens > 0 && v.PromptTokens > c.MaxPromptTokens:
		return fmt.Sprintf("prompt has %d tokens, more than %d", v.PromptTokens, c.MaxPromptTokens)
	case c.Header != "" && !headerMatches(v.header(c.Header), c.HeaderValue):
		return fmt.Sprintf("header %s does not match", c.Header)
	case c.PriorityClass != "" && !headerMatches(v.header(PriorityClassHeader), c.PriorityClass):
		return fmt.Sprintf("priority class is not %q", c.PriorityClass)
	}
	return ""
}

func hasAccount(all []wasabiridge.ClientAccountID, one wasabiridge.ClientAccountID) bool {
	for _, a := range all {
		if a == one {
			return true
		}
	}
	return false
}

func hasMethod(all []string, one string) bool {
	for _, m := range all {
		if strings.EqualFold(m, one) {
			return true
		}
	}
	return false
}

func hasModel(all []wasabiridge.ModelID, one wasabiridge.ModelID) bool {
	for _, m := range all {
		if m == one {
			return true
		}
	}
	return false
}

func pathMatches(pattern, path string) bool {
	if pattern == "" {
		return true
	}
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

func headerMatches(values []string, want string) bool {
	for _, v := range values {
		if want == "" || v == want {
			return true
		}
	}
	return false
}
