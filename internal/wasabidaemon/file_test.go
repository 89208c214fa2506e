package wasabidaemon_test

import (
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

var _ = Describe("a configuration file", func() {
	var file string

	BeforeEach(func() {
		file = writeConfig(startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1"}}))
	})

	// An operator puts new rules. Later a router restarts whose settings still
	// name the file of the first day. Callers of that router were served by the
	// old rules, because the file came before the platform's first answer.
	It("does not replace what was accepted, whatever its number", func() {
		platform, _, _ := startPlatform()
		first := startDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{
			Instance: "pos-1", Operator: operators, Drain: short, Platform: &platform,
		}})
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			status, _ := asOperator(http.MethodPut, first.OperatorURL()+"/v1/config", string(text), map[string]string{"If-Match": `"0"`})
			return status
		}, patience).Should(BeNumerically("<", 300))

		stale := strings.Replace(string(text), `"version":0`, `"version":5`, 1)
		Expect(stale).NotTo(Equal(string(text)))
		Expect(os.WriteFile(file, []byte(stale), 0o600)).To(Succeed())
		second := startDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{
			Instance: "pos-2", Operator: operators, Drain: short, Platform: &platform, ConfigFile: file,
		}})
		inForce := func() wasabiridge.ConfigVersion { return second.Status().Config }
		Eventually(inForce, patience).Should(BeEquivalentTo(1))
		Consistently(inForce, 300*time.Millisecond).Should(BeEquivalentTo(1))
	})

	// The platform is away when the only router restarts. It serves by the file
	// after a moment, because not serving would be worse.
	It("is used when neither the platform nor a peer answers", func() {
		platform, _, server := startPlatform()
		server.Close()
		d := startDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{
			Instance: "pos-1", Operator: operators, Drain: short, Platform: &platform, ConfigFile: file,
		}})
		Eventually(func() bool { return streamWhole(http.DefaultClient, d.URL(), longStream) }, patience).Should(BeTrue())
	})
})
