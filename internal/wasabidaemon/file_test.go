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

	// Guards against outdated rules after a restart: an operator changes the
	// rules, and later a router restarts whose settings still name an old
	// configuration file. The file was adopted before the platform's first answer.
	It("does not replace an accepted configuration, whatever its version number", func() {
		platform, _, _ := startPlatform()
		first := startDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{
			Instance: "pos-1", Operator: operators, Drain: shortDrain, Platform: &platform,
		}})
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			status, _ := asOperator(http.MethodPut, first.OperatorURL()+"/v1/config", string(text), map[string]string{"If-Match": `"0"`})
			return status
		}, eventuallyTimeout).Should(BeNumerically("<", 300))

		stale := strings.Replace(string(text), `"version":0`, `"version":5`, 1)
		Expect(stale).NotTo(Equal(string(text)))
		Expect(os.WriteFile(file, []byte(stale), 0o600)).To(Succeed())
		second := startDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{
			Instance: "pos-2", Operator: operators, Drain: shortDrain, Platform: &platform, ConfigFile: file,
		}})
		inForce := func() wasabiridge.ConfigVersion { return second.Status().Config }
		Eventually(inForce, eventuallyTimeout).Should(BeEquivalentTo(1))
		Consistently(inForce, 300*time.Millisecond).Should(BeEquivalentTo(1))
	})

	// Guards against an outage when the only router restarts while the platform is
	// down: after a short delay it serves with the configuration from the file,
	// because not serving would be worse.
	It("is used when neither the platform nor a peer answers", func() {
		platform, _, server := startPlatform()
		server.Close()
		d := startDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{
			Instance: "pos-1", Operator: operators, Drain: shortDrain, Platform: &platform, ConfigFile: file,
		}})
		Eventually(func() bool { return streamComplete(http.DefaultClient, d.URL(), longStream) }, eventuallyTimeout).Should(BeTrue())
	})
})
