package wasabigateway_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
)

// Guards against accounts that exceed their limit, and against answers without
// the rate limit headers and error type of the OpenAI API.
var _ = Describe("An account with a limit", func() {
	It("receives its remaining quota, and is refused beyond it", func() {
		r := specRig(nil)
		chat := call{key: limitedKey, body: `{"model":"whole","messages":[]}`}
		r.runner.set(respondWith(http.StatusOK, `{"id":"x"}`))
		first := r.do(chat)
		Expect(first.status).To(Equal(http.StatusOK))
		Expect(first.header.Get("X-Ratelimit-Limit-Requests")).To(Equal("4"))
		Expect(first.header.Get("X-Ratelimit-Remaining-Requests")).To(Equal("0"), "an instance starts with a quarter of the burst")
		got := r.do(chat)
		Expect(got.status).To(Equal(http.StatusTooManyRequests))
		Expect(got.code()).To(Equal("rate_limit_exceeded"))
		Expect(got.text).To(ContainSubstring(`"type":"rate_limit_error"`))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("not_run"))
		Expect(got.header.Get("Retry-After")).To(Equal("100"))
		Expect(got.header.Get("X-Ratelimit-Reset-Requests")).To(HavePrefix("6m"))
		Expect(r.runner.seen()).To(HaveLen(1))
	})

	It("does not use up the quota of other accounts", func() {
		r := specRig(nil)
		r.runner.set(respondWith(http.StatusOK, `{"id":"x"}`))
		for range 3 {
			r.do(call{key: limitedKey, body: `{"model":"whole","messages":[]}`})
		}
		other := r.do(call{body: `{"model":"whole","messages":[]}`})
		Expect(other.status).To(Equal(http.StatusOK))
		Expect(other.header.Get("X-Ratelimit-Limit-Requests")).To(BeEmpty())
	})
})
