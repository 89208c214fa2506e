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

const patience = "20s"

var _ = Describe("routers together", func() {
	var secret string
	var engine *wasabiengine.Engine

	BeforeEach(func() {
		secret = filepath.Join(GinkgoT().TempDir(), "peer.secret")
		Expect(os.WriteFile(secret, []byte("of all instances\n"), 0o600)).To(Succeed())
		engine = startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1"}})
	})

	settings := func(id string) wasabisettings.Settings {
		return wasabisettings.Settings{
			Instance: wasabiridge.InstanceID(id), Operator: operators, Drain: short,
			Peer: wasabisettings.PeerListener{Listen: "127.0.0.1:0", SecretFile: secret},
		}
	}
	serves := func(d *wasabidaemon.Daemon) func() bool {
		return func() bool { return streamWhole(http.DefaultClient, d.URL(), longStream) }
	}

	// The platform goes down. An instance that starts now must serve from what
	// the others know, and callers must hear of it and of who leaves.
	It("spread the configuration, name each other, and start while the platform is down", func() {
		platform, standIn, server := startPlatform()
		one := settings("pos-1")
		one.Platform = &platform
		first := startDaemon(wasabidaemon.Options{Settings: one})
		two := settings("pos-2")
		two.Platform = &platform
		second, ended := runDaemon(wasabidaemon.Options{Settings: two})
		standIn.Instances.Set(first.Entry())
		standIn.Instances.Set(second.Entry())

		text, err := os.ReadFile(writeConfig(engine))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			status, _ := asOperator(http.MethodPut, first.OperatorURL()+"/v1/config", string(text), map[string]string{"If-Match": `"0"`})
			return status
		}, patience).Should(BeNumerically("<", 300))
		Eventually(serves(second), patience).Should(BeTrue())
		Eventually(func() int { return len(addresses(first.URL()).Addresses) }, patience).Should(Equal(2))

		Expect(second.Drain(context.Background())).To(Succeed())
		Eventually(func() int { return len(addresses(first.URL()).Addresses) }, patience).Should(Equal(1))
		Eventually(ended, patience).Should(Receive(BeNil()))

		server.Close()
		three := settings("pos-3")
		three.Platform = &platform
		three.Peer.Seeds = []wasabisettings.Seed{{Instance: "pos-1", Address: first.Entry().PeerAddress}}
		third := startDaemon(wasabidaemon.Options{Settings: three})
		Eventually(serves(third), patience).Should(BeTrue())
	})
})
