package wasabibackend_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
)

var _ = Describe("answers of an engine", func() {
	It("are streamed with every token once and complete at the end marker", func() {
		e := newEngine(wasabiengine.Options{})
		ended, s := run(newRunner(wasabibackend.Options{}), streamOf(e.Backend()))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		Expect(ended.Delivered).To(Equal(10))
		Expect(ended.Usage.OutputTokens).To(Equal(10))
		Expect(ended.Usage.Weights).To(BeEquivalentTo(1))
		Expect(ended.Usage.Incarnation).To(BeEquivalentTo(1))
		Expect(s.sent).To(Equal(1))
		Expect(s.status).To(Equal(http.StatusOK))
		Expect(s.ids).To(HaveLen(10))
		Expect(s.data.String()).NotTo(ContainSubstring(`"usage"`), "the caller did not request usage")
		Expect(s.data.String()).NotTo(ContainSubstring("[DONE]"))
	})

	It("are passed on in one piece when they are not streamed", func() {
		e := newEngine(wasabiengine.Options{})
		a := streamOf(e.Backend())
		a.Body = []byte(`{"model":"m","max_tokens":5,"prompt":"code E4?"}`)
		a.Path = "/v1/completions"
		a.Stream = false
		ended, s := run(newRunner(wasabibackend.Options{}), a)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		Expect(ended.Delivered).To(Equal(5))
		Expect(s.chunks).To(Equal(1))
		Expect(s.ids).To(HaveLen(5))
	})
})
