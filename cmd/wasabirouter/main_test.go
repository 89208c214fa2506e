package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

// runAsRouter is the environment variable that makes the test binary run as the router.
const runAsRouter = "WASABIROUTER_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsRouter) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// command returns a command that runs the router in a process of its own.
func command(t testing.TB, args ...string) *exec.Cmd {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), runAsRouter+"=1")
	return cmd
}

func writeFile(t testing.TB, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestCommandLine(t *testing.T) {
	invalid := writeFile(t, "wrong.jsonc", "{\n  // no zone\n  \"instance\": \"a\", \"calller\": {}}")
	valid := writeFile(t, "right.jsonc", `{"instance":"a","zone":"z","caller":{"listen":"127.0.0.1:1"}}`)
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"check of valid settings":   {[]string{"check", "--settings", valid}, 0, "The settings are valid."},
		"check of invalid settings": {[]string{"check", "--settings", invalid}, exitSettings, "3:31: /calller: unknown field"},
		"run with invalid settings": {[]string{"run", "--settings", invalid}, exitSettings, "/calller"},
		"run without settings":      {[]string{"run"}, exitFailed, "settings"},
		"missing file":              {[]string{"check", "--settings", "/nowhere"}, exitSettings, "/nowhere"},
		"version":                   {[]string{"--version"}, 0, "wasabirouter version dev"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cmd := command(t, c.args...)
			text, _ := cmd.CombinedOutput()
			if code := cmd.ProcessState.ExitCode(); code != c.code {
				t.Errorf("exit code %d, want %d: %s", code, c.code, text)
			}
			if !strings.Contains(string(text), c.want) {
				t.Errorf("output %q does not contain %q", text, c.want)
			}
		})
	}
}

const key = "caller-key"

// writeSettings writes the configuration and settings files of a router and returns the
// name of the latter.
func writeSettings(t testing.TB, address string, engine wasabiridge.BackendServer) string {
	t.Helper()
	sum := sha256.Sum256([]byte(key))
	config, err := json.Marshal(wasabiridge.Config{
		Accounts: []wasabiridge.ClientAccount{{ID: "liftwell", KeyHashes: []string{hex.EncodeToString(sum[:])}, Pools: []wasabiridge.PoolID{"answer"}}},
		Pools:    []wasabiridge.Pool{{ID: "answer", Backends: []wasabiridge.BackendServer{engine}}},
		Rules:    []wasabiridge.Rule{{ID: "all", Then: wasabiridge.Action{Pool: "answer"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	settings, err := json.Marshal(map[string]any{
		"instance": "pos-1", "zone": "port-of-spain",
		"caller":      map[string]any{"listen": address},
		"config_file": writeFile(t, "config.jsonc", string(config)),
		"drain":       map[string]any{"answer_lifetime_ms": 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, "settings.jsonc", string(settings))
}

func startEngine(t testing.TB) *wasabiengine.Engine {
	t.Helper()
	engine := wasabiengine.New(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1"}, Clock: wasabiclock.System()})
	if err := engine.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	return engine
}

// freeAddress returns ports below the ephemeral ports, which the system assigns to
// outgoing connections and to listeners on port 0.
const (
	lowestPort = 14000
	portsCount = 16000
)

// portsTried is the number of ports that freeAddress has tried in this process.
var portsTried atomic.Uint64

// freeAddress returns an address without a listener, and a different one at each call in
// this process. A port chosen by the system could be assigned to another listener before
// the router starts: callers would then reach the peer listener of another router.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range portsCount {
		port := lowestPort + (uint64(os.Getpid())*61+portsTried.Add(1))%portsCount
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.FormatUint(port, 10)))
		if err != nil {
			continue
		}
		if err = l.Close(); err != nil {
			t.Fatal(err)
		}
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// ask repeats a completion request until a router responds, and returns the body.
func ask(t testing.TB, address string) string {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		body := strings.NewReader(`{"model":"m","stream":true,"max_tokens":2,"messages":[]}`)
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", body)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			return string(text)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no response within 20 s")
	return ""
}

// Guards against an unclean exit when a supervisor repeats SIGTERM during the drain: the
// process must complete the drain and exit with code 0.
func TestSecondSIGTERMChangesNothing(t *testing.T) {
	address := freeAddress(t)
	cmd := command(t, "run", "--settings", writeSettings(t, address, startEngine(t).Backend()))
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if text := ask(t, address); !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("incomplete response: %s", text)
	}
	for range 2 {
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("process exited with %v: %s", err, log.String())
	}
	for _, secret := range []string{key, "check", "seat"} {
		if strings.Contains(log.String(), secret) {
			t.Errorf("log contains %q: %s", secret, log.String())
		}
	}
}

// BenchmarkRestart starts nine routers at once and measures the time from the start of
// each process to the end of its first response.
func BenchmarkRestart(b *testing.B) {
	const routers = 9
	engine := startEngine(b)
	var times []time.Duration
	for range b.N {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range routers {
			address := freeAddress(b)
			cmd := command(b, "run", "--settings", writeSettings(b, address, engine.Backend()))
			wg.Add(1)
			go func() {
				defer wg.Done()
				started := time.Now()
				if err := cmd.Start(); err != nil {
					b.Error(err)
					return
				}
				ask(b, address)
				took := time.Since(started)
				_ = cmd.Process.Signal(syscall.SIGTERM)
				_ = cmd.Wait()
				mu.Lock()
				defer mu.Unlock()
				times = append(times, took)
			}()
		}
		wg.Wait()
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-max")
	b.ReportMetric(0, "ns/op")
}
