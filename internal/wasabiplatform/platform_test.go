package wasabiplatform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicontract"
	"github.com/wasabiridge/wasabiridge/internal/wasabiinstances"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/internal/wasabiweights"
)

func TestPlatform(t *testing.T) { wasabitest.Run(t, "platform") }

// start serves new stand-ins and returns them with clients and the address of
// the server.
func start() (*wasabiplatform.StandIn, wasabiplatform.Platform, string) {
	clock := wasabiclock.System()
	standIn := wasabiplatform.NewStandIn(wasabiplatform.StandInOptions{Clock: clock})
	server := httptest.NewServer(standIn.Handler())
	DeferCleanup(server.Close)
	return standIn, wasabiplatform.Connect(standIn.Settings(server.URL), clock), server.URL
}

func put(ctx SpecContext, url, body string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

var _ = Describe("The platform stand-in in one server", func() {
	Context("its table", func() {
		wasabicontract.Specs(wasabicontract.Table(func() wasabicontract.TableSubject {
			_, platform, _ := start()
			return wasabicontract.TableSubject{Table: platform.Table}
		}))
	})
	Context("its objects", func() {
		wasabicontract.Specs(wasabicontract.Objects(func() wasabicontract.ObjectSubject {
			standIn, platform, _ := start()
			return wasabicontract.ObjectSubject{Store: platform.Objects, Script: standIn.Objects.Faults().SetNextOutcomes}
		}))
	})
	Context("its weights", func() {
		wasabicontract.Specs(wasabicontract.Weights(func() wasabicontract.WeightSubject {
			standIn, platform, _ := start()
			publish := wasabiweights.NewStore(standIn.Weights).Publish
			return wasabicontract.WeightSubject{Store: platform.Weights, Publish: publish, Script: standIn.Weights.Faults().SetNextOutcomes}
		}))
	})

	It("lists instances that were registered over HTTP", func(ctx SpecContext) {
		_, platform, url := start()
		want := []wasabiridge.InstanceEntry{{ID: "pos-1", PeerAddress: "127.0.0.1:7001", Leaving: true}}
		body, err := wasabiinstances.Encode(want)
		Expect(err).NotTo(HaveOccurred())
		Expect(put(ctx, url+"/instances", string(body))).To(Equal(http.StatusOK))
		Expect(platform.Instances.Instances(ctx)).To(Equal(want))
	})

	It("accepts a fault plan over HTTP and rejects unknown fields and services", func(ctx SpecContext) {
		_, platform, url := start()
		Expect(put(ctx, url+"/standin/faults/table", `{"unavailable":1}`)).To(Equal(http.StatusOK))
		_, err := platform.Table.Get(ctx, "a/b")
		Expect(errorx.IsOfType(err, wasabiridge.ErrUnavailable)).To(BeTrue(), "%v", err)
		Expect(put(ctx, url+"/standin/faults/table", `{"unavailable_share":1}`)).To(Equal(http.StatusBadRequest))
		Expect(put(ctx, url+"/standin/faults/tabel", `{}`)).To(Equal(http.StatusNotFound))
	})

	// A process starts while the platform is down. It must start up, and its
	// calls must report that nothing took effect.
	It("connects while the platform is down", func(ctx SpecContext) {
		standIn, _, _ := start()
		gone := httptest.NewServer(nil)
		gone.Close()
		platform := wasabiplatform.Connect(standIn.Settings(gone.URL), wasabiclock.System())
		_, listErr := platform.Instances.Instances(ctx)
		_, weightErr := platform.Weights.Latest(ctx, "large", "")
		for _, err := range []error{listErr, weightErr, platform.Objects.Put(ctx, "a", nil)} {
			Expect(errorx.IsOfType(err, wasabiridge.ErrUnavailable)).To(BeTrue(), "%v", err)
		}
	})
})
