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

// fakeGoCommand replaces the go command. It simulates packages that all have the
// tests TestSuite, TestRed and TestGreen, with the specs "is red" and "is green" in
// TestSuite. It appends its arguments to the file $CALLS.
const fakeGoCommand = `#!/usr/bin/env bash
echo "$*" >>"$CALLS"
case "$*" in
  "list work") printf 'example/a\nexample/b\n' ;;
  *"-list ^TestSuite$"*) echo TestSuite ;;
  *"-list ^TestRed$"*) echo TestRed ;;
  *"-list ^TestGreen$"*) echo TestGreen ;;
  *"-list "*) ;;
  *"-ginkgo.focus="*"is red$"*|*"-run ^TestRed$"*) echo "--- FAIL: known failure"; exit 1 ;;
  *"-ginkgo.focus=is green$"*|*"-run ^TestGreen$"*) echo ok ;;
  *"-ginkgo.focus="*) echo "Ran 0 of 2 Specs"; exit 1 ;;
  *"$BROKEN"*) echo "--- FAIL: other failure"; exit 1 ;;
  *) echo ok ;;
esac
`

// runTests runs .ci/tests with a list of known failures and fakeGoCommand, which
// fails if its arguments contain failing. It returns the output of the script and
// the arguments of each call of the go command.
func runTests(t *testing.T, list, failing string) (output, calls string, err error) {
	t.Helper()
	dir := t.TempDir()
	if err = os.WriteFile(filepath.Join(dir, "go"), []byte(fakeGoCommand), 0o700); err != nil {
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
	cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"), "CALLS="+filepath.Join(dir, "calls"), "BROKEN="+failing,
		"KNOWN_RED="+filepath.Join(dir, "list"))
	out, err := cmd.CombinedOutput()
	callLog, readErr := os.ReadFile(filepath.Join(dir, "calls"))
	if readErr != nil {
		callLog = nil
	}
	return string(out), string(callLog), err
}

// KNOWN-RED.txt lists tests that fail because of a known fault. Guards against runs
// that fail until the fault is fixed, because listed tests are not skipped, and against
// runs that hide other failures, because a whole package is skipped or a test that
// passes by now stays listed.
func TestKnownFailuresRunApart(t *testing.T) {
	const (
		noFailure = "never in a call"
		// crowds is the package that runs by itself.
		crowds = "github.com/wasabiridge/wasabiridge/platform/crowd"
	)
	cases := map[string]struct {
		list, failing string
		passes        bool
		output, calls []string
	}{
		"empty list":                   {"", noFailure, true, nil, []string{"test -race -shuffle=20261202 -timeout 20m work\ntest -race -shuffle=20261202 -timeout 20m " + crowds + "\n"}},
		"a crowd fails":                {"", crowds, false, []string{"other failure"}, nil},
		"a listed crowd fails":         {crowds + " | TestSuite/is red | 1 | x | issue 9\n", noFailure, true, []string{"fails, as listed"}, []string{crowds + " -ginkgo.skip=is red$\n"}},
		"empty list, a test fails":     {"", "work", false, []string{"other failure"}, nil},
		"a listed test fails":          {"# why\n\nexample/a | TestRed | 1 | sent again | issue 9\n", noFailure, true, []string{"sent again (issue 9)", "fails, as listed", "known failure"}, []string{"-skip ^TestRed$ work\n", "example/a -run ^TestRed$\n"}},
		"another test fails":           {"example/a | TestRed | 1 | x | issue 9\n", "work", false, []string{"other failure"}, nil},
		"a listed test passes":         {"example/a | TestGreen | 1 | x | issue 9\n", noFailure, false, []string{"TestGreen passes; its entry is to go"}, nil},
		"a listed test is missing":     {"example/a | TestGone | 1 | x | issue 9\n", noFailure, false, []string{"has no test TestGone"}, nil},
		"a listed spec fails":          {"example/a | TestSuite/is red | 1 | x | issue 9\n", noFailure, true, []string{"fails, as listed"}, []string{"20m example/b\n", "example/a -ginkgo.skip=is red$\n", "example/a -run ^TestSuite$ -ginkgo.fail-on-empty -ginkgo.focus=is red$\n"}},
		"two listed specs fail":        {"example/a | TestSuite/is red | 1 | x | issue 9\nexample/a | TestSuite/too is red | 1 | x | issue 9\n", noFailure, true, nil, []string{"example/a -ginkgo.skip=is red$|too is red$\n"}},
		"a listed spec passes":         {"example/a | TestSuite/is green | 1 | x | issue 9\n", noFailure, false, []string{"is green passes; its entry is to go"}, nil},
		"a listed spec is missing":     {"example/a | TestSuite/is gone | 1 | x | issue 9\n", noFailure, false, []string{"has no spec is gone"}, nil},
		"another spec fails":           {"example/a | TestSuite/is red | 1 | x | issue 9\n", "-ginkgo.skip", false, []string{"other failure"}, nil},
		"malformed entry":              {"example/a | TestRed\n", noFailure, false, []string{"not an entry"}, nil},
		"special characters in a spec": {"example/a | TestSuite/a (b) is red | 1 | x | issue 9\n", noFailure, true, nil, []string{`-ginkgo.skip=a \(b\) is red$`}},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		t.Run(name, func(t *testing.T) {
			g, c := NewWithT(t), cases[name]
			output, calls, err := runTests(t, c.list, c.failing)
			g.Expect(err == nil).To(Equal(c.passes), output)
			for _, text := range c.output {
				g.Expect(output).To(ContainSubstring(text))
			}
			for _, call := range c.calls {
				g.Expect(strings.ReplaceAll(calls, "\r", "")).To(ContainSubstring(call))
			}
		})
	}
}
