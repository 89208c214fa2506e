package wasabigateway

import (
	"net/http"
	"path"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// defaultDeadline is the deadline for the first byte if the rule sets none.
const defaultDeadline = 30 * wasabiridge.Second

// serve handles a request from the match of its rule to the record of its
// outcome.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	c := callOf(r)
	if !isCanonicalPath(r.URL.Path) {
		g.fail(w, r, failNoRule)
		return
	}
	if f := g.read(w, r, c); f != nil {
		g.fail(w, r, *f)
		return
	}
	if f := match(r, c); f != nil {
		g.fail(w, r, *f)
		return
	}
	request := c.request(r)
	request.Fingerprint = g.options.Hasher.Fingerprint(wasabifingerprint.Content{
		Account: request.Account, Method: r.Method, Host: r.Host, Path: wasabirule.TargetOf(r), Model: request.Model, Body: c.body.raw,
	})
	var ticket claimTicket
	if c.rule.Then.NonIdempotent {
		var granted bool
		if ticket, granted = g.claim(w, r, request); !granted {
			return
		}
		request.IdempotencyKey = ticket.query.Key
	}
	x := newExchange(g, c, r, request)
	defer g.settle(x, ticket)
	if err := g.options.Loop.Submit(request, x.mailbox); err != nil {
		g.fail(w, r, failRingFull)
		return
	}
	defer g.options.Loop.CloseMailbox(request.ID)
	newRelay(x, w, r).run()
}

// isCanonicalPath reports whether a path is absolute and free of "." and ".."
// elements and double slashes. A path such as "/v1/catalogue/../admin" would
// match the rule for the catalogue and then be resolved to another resource by
// the backend service.
func isCanonicalPath(p string) bool {
	return strings.HasPrefix(p, "/") && (path.Clean(p) == p || path.Clean(p)+"/" == p)
}

// read reads the body, and parses it if the request is a completion.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request, c *call) *failure {
	raw, f := g.readBody(w, r)
	if f != nil {
		return f
	}
	c.body = body{raw: raw}
	if !isCompletion(r) {
		return nil
	}
	var err error
	if c.body, err = parseCompletion(raw); err != nil {
		return &failure{status: http.StatusBadRequest, kind: typeInvalid, code: "invalid_body", message: plainMessage(err)}
	}
	return nil
}

// plainMessage returns the text of an error without the name of its errorx
// type.
func plainMessage(err error) string {
	_, text, ok := strings.Cut(err.Error(), ": ")
	if !ok {
		return err.Error()
	}
	return text
}

// match finds the rule of the request and checks that the client account may
// use its pool. A fallback pool that the account may not use is removed.
func match(r *http.Request, c *call) *failure {
	rule, ok := wasabirule.Match(*c.config, wasabirule.RequestView{
		Account:      c.account.ID,
		Method:       r.Method,
		Path:         wasabirule.PathOf(r),
		Model:        c.body.model,
		PromptTokens: len(c.body.prompt) / wasabiprefix.BytesPerToken,
		Header:       r.Header.Values,
	})
	if !ok {
		return &failNoRule
	}
	c.rule = rule
	if rule.Then.Refuse != "" {
		f := refusal(wasabiridge.RefusedByRule, 0).withMessage(rule.Then.Refuse)
		return &f
	}
	if !c.account.MayUse(rule.Then.Pool) {
		return &failPool
	}
	if !c.account.MayUse(rule.Then.Fallback) {
		c.rule.Then.Fallback = ""
	}
	return nil
}

// request builds the request for the decision loop. It releases the prompt,
// which no decision needs, so that it takes up no memory while the answer
// streams.
func (c *call) request(r *http.Request) wasabiridge.Request {
	action := c.rule.Then
	model := c.body.model
	if action.Model != "" {
		model = action.Model
	}
	wait := action.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	request := wasabiridge.Request{
		ID:        c.id,
		Account:   c.account.ID,
		Method:    r.Method,
		Path:      wasabirule.PathOf(r),
		Model:     model,
		MaxTokens: c.body.maxTokens,
		Stream:    c.body.stream,
		Arrived:   c.arrived,
		Deadline:  c.arrived + wait,
	}
	pool, _ := c.config.Pool(action.Pool)
	root := wasabiridge.CacheRoot{Account: c.account.ID, Model: model, Adapter: action.Adapter, Weights: action.Weights}
	request = request.WithRule(c.rule).WithChain(wasabiprefix.NewChain(root, c.body.prompt, pool.BlockTokens))
	c.body.prompt = nil
	return request
}
