package wasabidaemon_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// Guards against a faulty engine that nobody sees, because no line names it.
var _ = It("names in the first 200 characters of a line which engine sent a malformed event", func() {
	engine := startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1"}})
	engine.Inject(wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Kind: wasabiserver.OversizeLine})
	log := gbytes.NewBuffer()
	d := startDaemon(wasabidaemon.Options{Log: log, Settings: wasabisettings.Settings{
		ConfigFile: writeConfig(engine), Drain: shortDrain, Operator: operators,
	}})
	resp := post(d.URL(), `{"model":"m","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"Code 17?"}]}`)
	_, _ = io.Copy(io.Discard, resp.Body)
	var line string
	Eventually(func() string {
		for text := range strings.Lines(string(log.Contents())) {
			if strings.Contains(text, "Malformed response") {
				line = text
			}
		}
		return line
	}, eventuallyTimeout).ShouldNot(BeEmpty())
	for _, part := range []string{`"request_id":"` + resp.Header.Get("X-Request-Id") + `"`, `"backend":"e1"`, `"of":"event"`, `"cause":"event too large"`, `"events":4`, `"bytes":10`} {
		Expect(line[:200]).To(ContainSubstring(part))
	}
	_, metrics := asOperator(http.MethodGet, d.OperatorURL()+"/metrics", "", nil)
	Expect(metrics).To(MatchRegexp(`"backends.malformed_responses":\s*\{[^}]*\b1\b`))
})
