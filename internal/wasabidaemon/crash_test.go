package wasabidaemon_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// Guards against one request that crashes all engines of a pool: it crashes every
// engine that runs it, and its caller repeats it after each failure at any router.
// Without the quarantine, eight sends to two routers crash all eight engines.
// The cause is the same as for requests on the users' platform, except that this
// daemon did not query the quarantine at all.
var _ = Describe("a chat that crashes every engine that runs it", func() {
	const fatal, allowed, further = "ends engines", 3, 3

	It("is not sent to one engine after another by any router", func() {
		var engines []*wasabiengine.Engine
		for i := range 8 {
			engines = append(engines, startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: wasabiridge.BackendServerID(fmt.Sprint("e", i))}, CrashOn: fatal}))
		}
		secret := filepath.Join(GinkgoT().TempDir(), "peer.secret")
		Expect(os.WriteFile(secret, []byte("of all instances\n"), 0o600)).To(Succeed())
		file := writeConfig(engines...)
		settings := func(id string) wasabisettings.Settings {
			return wasabisettings.Settings{
				Instance: wasabiridge.InstanceID(id), ConfigFile: file, Drain: shortDrain, Operator: operators,
				Peer: wasabisettings.PeerListener{Listen: "127.0.0.1:0", SecretFile: secret},
			}
		}
		first := startDaemon(wasabidaemon.Options{Settings: settings("pos-1")})
		two := settings("pos-2")
		two.Peer.Seeds = []wasabisettings.Seed{{Instance: "pos-1", Address: first.InstanceEntry().PeerAddress}}
		second := startDaemon(wasabidaemon.Options{Settings: two})
		Eventually(func() int { return len(addresses(first.URL()).Addresses) }, eventuallyTimeout).Should(Equal(2))
		sendHarmless := func(d *wasabidaemon.Daemon) int {
			return post(d.URL(), `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"Code 17?"}]}`).StatusCode
		}
		var last *http.Response
		for i := range 8 {
			last = post([]*wasabidaemon.Daemon{first, second}[i%2].URL(), `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"`+fatal+`"}]}`)
			// Routers receive each other's state updates within this time.
			time.Sleep(150 * time.Millisecond)
		}
		crashes := 0
		for _, e := range engines {
			crashes += e.CrashCount()
		}
		Expect(crashes).To(BeNumerically("<=", allowed+further))
		Expect(last.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		Expect(last.Header.Get("Retry-After")).To(BeEmpty(), "the caller is not asked to retry")
		Expect(last.Header.Get("Wasabi-Disposition")).To(Equal("not_run"))
		Expect(sendHarmless(first)).To(Equal(http.StatusOK))
		Expect(sendHarmless(second)).To(Equal(http.StatusOK))
	})
})
