package wasabigateway_test

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
)

var _ = Describe("refusals before an attempt is sent", func() {
	cases := map[string]struct {
		call   call
		change func(*wasabigateway.Options)
		status int
		code   string
		retry  bool
	}{
		"wrong key":                   {call: call{key: "other", body: chatStream}, status: 401, code: "invalid_api_key"},
		"no bearer key":               {call: call{header: map[string]string{"Authorization": "Basic x"}}, status: 401, code: "missing_api_key"},
		"body above the size limit":   {call: call{body: strings.Repeat("x", 5000)}, status: 413, code: "body_too_large"},
		"header above the size limit": {call: call{body: chatStream, header: map[string]string{"X-Flood": strings.Repeat("x", 3000)}}, status: 431, code: "header_too_large"},
		"broken JSON":                 {call: call{body: `{"model":`}, status: 400, code: "invalid_body"},
		"text after the JSON":         {call: call{body: `{"model":"m"} x`}, status: 400, code: "invalid_body"},
		"no JSON object":              {call: call{body: `["model"]`}, status: 400, code: "invalid_body"},
		"no model":                    {call: call{body: `{"stream":true}`}, status: 400, code: "invalid_body"},
		"model twice":                 {call: call{body: `{"model":"m","model":"foreign"}`}, status: 400, code: "invalid_body"},
		"stream is no boolean":        {call: call{body: `{"model":"m","stream":"yes"}`}, status: 400, code: "invalid_body"},
		"empty body":                  {call: call{}, status: 400, code: "invalid_body"},
		"no rule":                     {call: call{path: "/nowhere"}, status: 404, code: "no_rule"},
		"path with dot segments":      {call: call{method: "GET", path: "/catalogue/..%2fbookings"}, status: 404, code: "no_rule"},
		"another account's pool":      {call: call{body: `{"model":"foreign"}`}, status: 403, code: "pool_not_allowed"},
		"rule refuses":                {call: call{body: `{"model":"refused"}`}, status: 403, code: "refused_by_rule"},
		"booking without a key":       {call: call{path: "/bookings", body: "{}"}, status: 400, code: "idempotency_key_required"},
		"booking without claims": {call: call{path: "/bookings", header: map[string]string{"Idempotency-Key": "k"}},
			change: func(o *wasabigateway.Options) { o.Claimer = nil }, status: 503, code: "claims_unavailable", retry: true},
		"too many requests": {call: call{body: chatStream},
			change: func(o *wasabigateway.Options) { o.Limits.Requests = -1 }, status: 503, code: "too_many_requests", retry: true},
		"no configuration": {call: call{body: chatStream},
			change: func(o *wasabigateway.Options) {
				o.Config = func() *wasabiridge.Config { return &wasabiridge.Config{} }
			}, status: 503, code: "no_configuration", retry: true},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		It(name+" is not run", func() {
			r := specRig(c.change)
			got := r.do(c.call)
			Expect(got.code()).To(Equal(c.code))
			Expect(got.status).To(Equal(c.status))
			Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("not_run"))
			Expect(got.header.Get(wasabigateway.RequestIDHeader)).NotTo(BeEmpty())
			Expect(got.header.Get("Retry-After") != "").To(Equal(c.retry))
			Expect(r.runner.seen()).To(BeEmpty())
		})
	}

	// A caller that fails during an upload leaves a body without its last
	// chunk. A truncated booking must not reach the service.
	It("does not run a request whose chunked body is malformed or truncated", func() {
		raw := map[string]string{
			"bad size":   "ZZ\r\nabc\r\n0\r\n\r\n",
			"truncated":  "5\r\nab",
			"no newline": "3\r\nabcXX",
		}
		for _, name := range slices.Sorted(maps.Keys(raw)) {
			r := specRig(nil)
			status := rawRequest(r, "Transfer-Encoding: chunked", raw[name])
			Expect(status).To(ContainSubstring("400"), name)
			Expect(r.runner.seen()).To(BeEmpty())
		}
	})

	It("enforces the size limit on a body of unknown length while reading it", func() {
		r := specRig(nil)
		body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 5000, strings.Repeat("x", 5000))
		Expect(rawRequest(r, "Transfer-Encoding: chunked", body)).To(ContainSubstring("413"))
		Expect(r.runner.seen()).To(BeEmpty())
	})
})

// rawRequest sends the bytes unmodified, closes its side of the connection and
// returns the status line.
func rawRequest(r *rig, header, body string) string {
	GinkgoHelper()
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n%s", callerKey, header, body)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	line, err := bufio.NewReader(conn).ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	return line
}

var _ = Describe("answers", func() {
	It("arrive complete with status, type and disposition", func() {
		r := specRig(nil)
		r.runner.set(respondWith(http.StatusOK, `{"id":"x"}`))
		got := r.do(call{body: `{"model":"whole","messages":[]}`})
		Expect(got.text).To(Equal(`{"id":"x"}`))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("ran"))
		seen := r.runner.seen()[0]
		Expect(string(seen.Body)).To(Equal(`{"model":"served","messages":[]}`))
		Expect(seen.Header).NotTo(HaveKey("Authorization"))
		Expect(seen.CacheSalt).NotTo(BeEmpty())
	})

	It("of plain services are passed through, including errors", func() {
		r := specRig(nil)
		r.runner.set(respondWith(http.StatusTeapot, "short and stout"))
		got := r.do(call{method: http.MethodGet, path: "/catalogue/7?full=1"})
		Expect(got.status).To(Equal(http.StatusTeapot))
		Expect(got.text).To(Equal("short and stout"))
		Expect(r.runner.seen()[0].Path).To(Equal("/catalogue/7?full=1"))
	})

	It("list the models of the account's rules", func() {
		r := specRig(nil)
		got := r.do(call{method: http.MethodGet, path: "/v1/models"})
		Expect(got.text).To(ContainSubstring(`"review"`))
		Expect(got.text).NotTo(ContainSubstring("foreign"))
	})

	// A backend server fails with a retry time and the rule allows no retry.
	// The router must answer at once and pass the retry time on.
	It("that report a failure carry the retry time of the backend server", func() {
		r := specRig(nil)
		r.runner.set(func(_ context.Context, _ int, _ wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			sink.Sent()
			e := end(wasabiridge.AttemptBroken)
			e.RetryAfter = 2500
			return e
		})
		got := r.do(call{body: `{"model":"whole"}`})
		Expect(got.code()).To(Equal("backend_broken"))
		Expect(got.header.Get("Retry-After")).To(Equal("3"))
		Expect(got.header.Get("Retry-After-Ms")).To(Equal("2500"))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("maybe_run"))
	})
})
