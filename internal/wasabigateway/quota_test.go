package wasabigateway_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
)

// Guards against accounts that run more than their limit, and against callers who are not
// told so in the way of the OpenAI API.
var _ = Describe("An account with a limit", func() {
	It("is told what is left, and is refused beyond it", func() {
		r := specRig(nil)
		chat := call{key: limitedKey, body: `{"model":"whole","messages":[]}`}
		r.runner.set(whole(http.StatusOK, `{"id":"x"}`))
		first := r.do(chat)
		Expect(first.status).To(Equal(http.StatusOK))
		Expect(first.header.Get("X-Ratelimit-Limit-Requests")).To(Equal("4"))
		Expect(first.header.Get("X-Ratelimit-Remaining-Requests")).To(Equal("0"), "a process that starts has a quarter of the burst")
		got := r.do(chat)
		Expect(got.status).To(Equal(http.StatusTooManyRequests))
		Expect(got.code()).To(Equal("rate_limit_exceeded"))
		Expect(got.text).To(ContainSubstring(`"type":"rate_limit_error"`))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("not_run"))
		Expect(got.header.Get("Retry-After")).To(Equal("100"))
		Expect(got.header.Get("X-Ratelimit-Reset-Requests")).To(HavePrefix("6m"))
		Expect(r.runner.seen()).To(HaveLen(1))
	})

	It("takes nothing from others", func() {
		r := specRig(nil)
		r.runner.set(whole(http.StatusOK, `{"id":"x"}`))
		for range 3 {
			r.do(call{key: limitedKey, body: `{"model":"whole","messages":[]}`})
		}
		other := r.do(call{body: `{"model":"whole","messages":[]}`})
		Expect(other.status).To(Equal(http.StatusOK))
		Expect(other.header.Get("X-Ratelimit-Limit-Requests")).To(BeEmpty())
	})
})
