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

// Story: a program sends a chat that ends every engine that runs it, and sends it again
// after each failure, to any router. Engine after engine ends, until none is left for
// anybody. The cause is that of requests on the users' platform; here nothing asked at
// all. Proof: with eight engines and eight sends at two routers all engines end.
var _ = Describe("a chat that ends every engine that runs it", func() {
	const fatal, allowed, further = "ends engines", 3, 3

	It("is not sent on from engine to engine, by any router", func() {
		var engines []*wasabiengine.Engine
		for i := range 8 {
			engines = append(engines, startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: wasabiridge.BackendServerID(fmt.Sprint("e", i))}, CrashOn: fatal}))
		}
		secret := filepath.Join(GinkgoT().TempDir(), "peer.secret")
		Expect(os.WriteFile(secret, []byte("of all instances\n"), 0o600)).To(Succeed())
		file := writeConfig(engines...)
		settings := func(id string) wasabisettings.Settings {
			return wasabisettings.Settings{
				Instance: wasabiridge.InstanceID(id), ConfigFile: file, Drain: short, Operator: operators,
				Peer: wasabisettings.PeerListener{Listen: "127.0.0.1:0", SecretFile: secret},
			}
		}
		first := startDaemon(wasabidaemon.Options{Settings: settings("pos-1")})
		two := settings("pos-2")
		two.Peer.Seeds = []wasabisettings.Seed{{Instance: "pos-1", Address: first.Entry().PeerAddress}}
		second := startDaemon(wasabidaemon.Options{Settings: two})
		Eventually(func() int { return len(addresses(first.URL()).Addresses) }, patience).Should(Equal(2))
		proper := func(d *wasabidaemon.Daemon) int {
			return post(d.URL(), `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"Code 17?"}]}`).StatusCode
		}
		var last *http.Response
		for i := range 8 {
			last = post([]*wasabidaemon.Daemon{first, second}[i%2].URL(), `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"`+fatal+`"}]}`)
			// Routers hear of each other within this time.
			time.Sleep(150 * time.Millisecond)
		}
		ended := 0
		for _, e := range engines {
			ended += e.Ends()
		}
		Expect(ended).To(BeNumerically("<=", allowed+further))
		Expect(last.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		Expect(last.Header.Get("Retry-After")).To(BeEmpty(), "it is not invited back")
		Expect(last.Header.Get("Wasabi-Disposition")).To(Equal("not_run"))
		Expect(proper(first)).To(Equal(http.StatusOK))
		Expect(proper(second)).To(Equal(http.StatusOK))
	})
})
