package wasabitest_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// goStandIn stands in for the go command. Every package has the tests TestSuite,
// TestRed and TestGreen, and the suite the specs "is red" and "is green". It writes
// down how it was called.
const goStandIn = `#!/usr/bin/env bash
echo "$*" >>"$CALLS"
case "$*" in
  "list work") printf 'example/a\nexample/b\n' ;;
  *"-list ^TestSuite$"*) echo TestSuite ;;
  *"-list ^TestRed$"*) echo TestRed ;;
  *"-list ^TestGreen$"*) echo TestGreen ;;
  *"-list "*) ;;
  *"-ginkgo.focus="*"is red$"*|*"-run ^TestRed$"*) echo "--- FAIL: as ever"; exit 1 ;;
  *"-ginkgo.focus=is green$"*|*"-run ^TestGreen$"*) echo ok ;;
  *"-ginkgo.focus="*) echo "Ran 0 of 2 Specs"; exit 1 ;;
  *"$BROKEN"*) echo "--- FAIL: anything else"; exit 1 ;;
  *) echo ok ;;
esac
`

// runTests runs the script that runs all tests, with a list of known failures and a
// stand-in for the go command that fails where its arguments hold broken.
func runTests(t *testing.T, list, broken string) (output, calls string, err error) {
	t.Helper()
	dir := t.TempDir()
	if err = os.WriteFile(filepath.Join(dir, "go"), []byte(goStandIn), 0o700); err != nil {
		t.Fatal(err)
	}
	if err = os.WriteFile(filepath.Join(dir, "list"), []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	script, err := filepath.Abs("../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("bash", script)
	cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"), "CALLS="+filepath.Join(dir, "calls"), "BROKEN="+broken,
		"KNOWN_RED="+filepath.Join(dir, "list"))
	out, err := cmd.CombinedOutput()
	written, failed := os.ReadFile(filepath.Join(dir, "calls"))
	if failed != nil {
		written = nil
	}
	return string(out), string(written), err
}

// A test that fails for a known fault is listed. Were the list only printed, every run
// would fail until the fault is mended; were the listed package left out, or a listed
// test forgotten that passes by now, other failures would go unseen.
func TestKnownFailuresRunApart(t *testing.T) {
	const never = "never in a call"
	cases := map[string]struct {
		list, broken string
		passes       bool
		says, called []string
	}{
		"no list":           {"", never, true, nil, []string{"test -race -shuffle=20261202 -timeout 20m work\n"}},
		"another failure":   {"", "work", false, []string{"anything else"}, nil},
		"a red test":        {"# why\n\nexample/a | TestRed | 1 | sent again | issue 9\n", never, true, []string{"sent again (issue 9)", "fails, as listed", "as ever"}, []string{"-skip ^TestRed$ work\n", "example/a -run ^TestRed$\n"}},
		"red and another":   {"example/a | TestRed | 1 | x | issue 9\n", "work", false, []string{"anything else"}, nil},
		"a green test":      {"example/a | TestGreen | 1 | x | issue 9\n", never, false, []string{"TestGreen passes; its entry is to go"}, nil},
		"no such test":      {"example/a | TestGone | 1 | x | issue 9\n", never, false, []string{"has no test TestGone"}, nil},
		"a red spec":        {"example/a | TestSuite/is red | 1 | x | issue 9\n", never, true, []string{"fails, as listed"}, []string{"20m example/b\n", "example/a -ginkgo.skip=is red$\n", "example/a -run ^TestSuite$ -ginkgo.fail-on-empty -ginkgo.focus=is red$\n"}},
		"two red specs":     {"example/a | TestSuite/is red | 1 | x | issue 9\nexample/a | TestSuite/too is red | 1 | x | issue 9\n", never, true, nil, []string{"example/a -ginkgo.skip=is red$|too is red$\n"}},
		"a green spec":      {"example/a | TestSuite/is green | 1 | x | issue 9\n", never, false, []string{"is green passes; its entry is to go"}, nil},
		"no such spec":      {"example/a | TestSuite/is gone | 1 | x | issue 9\n", never, false, []string{"has no spec is gone"}, nil},
		"spec and another":  {"example/a | TestSuite/is red | 1 | x | issue 9\n", "-ginkgo.skip", false, []string{"anything else"}, nil},
		"no entry":          {"example/a | TestRed\n", never, false, []string{"not an entry"}, nil},
		"text with symbols": {"example/a | TestSuite/a (b) is red | 1 | x | issue 9\n", never, true, nil, []string{`-ginkgo.skip=a \(b\) is red$`}},
	}
	for _, name := range wasabitest.Names(cases) {
		t.Run(name, func(t *testing.T) {
			g, c := NewWithT(t), cases[name]
			output, calls, err := runTests(t, c.list, c.broken)
			g.Expect(err == nil).To(Equal(c.passes), output)
			for _, text := range c.says {
				g.Expect(output).To(ContainSubstring(text))
			}
			for _, call := range c.called {
				g.Expect(strings.ReplaceAll(calls, "\r", "")).To(ContainSubstring(call))
			}
		})
	}
}
