package wasabidaemon_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

const eventuallyTimeout = "20s"

var _ = Describe("several routers", func() {
	var secret string
	var engine *wasabiengine.Engine

	BeforeEach(func() {
		secret = filepath.Join(GinkgoT().TempDir(), "peer.secret")
		Expect(os.WriteFile(secret, []byte("of all instances\n"), 0o600)).To(Succeed())
		engine = startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1"}})
	})

	settings := func(id string) wasabisettings.Settings {
		return wasabisettings.Settings{
			Instance: wasabiridge.InstanceID(id), Operator: operators, Drain: shortDrain,
			Peer: wasabisettings.PeerListener{Listen: "127.0.0.1:0", SecretFile: secret},
		}
	}
	serves := func(d *wasabidaemon.Daemon) func() bool {
		return func() bool { return streamComplete(http.DefaultClient, d.URL(), longStream) }
	}

	// Guards against an instance that cannot serve because it starts while the
	// platform is down: it must get the configuration from its peers. Address
	// answers must contain new instances and must not contain draining ones.
	It("share the configuration, list each other's addresses, and start while the platform is down", func() {
		platform, standIn, server := startPlatform()
		one := settings("pos-1")
		one.Platform = &platform
		first := startDaemon(wasabidaemon.Options{Settings: one})
		two := settings("pos-2")
		two.Platform = &platform
		second, ended := runDaemon(wasabidaemon.Options{Settings: two})
		standIn.Instances.Set(first.InstanceEntry())
		standIn.Instances.Set(second.InstanceEntry())

		text, err := os.ReadFile(writeConfig(engine))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			status, _ := asOperator(http.MethodPut, first.OperatorURL()+"/v1/config", string(text), map[string]string{"If-Match": `"0"`})
			return status
		}, eventuallyTimeout).Should(BeNumerically("<", 300))
		Eventually(serves(second), eventuallyTimeout).Should(BeTrue())
		Eventually(func() int { return len(addresses(first.URL()).Addresses) }, eventuallyTimeout).Should(Equal(2))

		Expect(second.Drain(context.Background())).To(Succeed())
		Eventually(func() int { return len(addresses(first.URL()).Addresses) }, eventuallyTimeout).Should(Equal(1))
		Eventually(ended, eventuallyTimeout).Should(Receive(BeNil()))

		server.Close()
		three := settings("pos-3")
		three.Platform = &platform
		three.Peer.Seeds = []wasabisettings.Seed{{Instance: "pos-1", Address: first.InstanceEntry().PeerAddress}}
		third := startDaemon(wasabidaemon.Options{Settings: three})
		Eventually(serves(third), eventuallyTimeout).Should(BeTrue())
	})
})
