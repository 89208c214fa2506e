package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
)

// member is a router process whose settings list all members of its group as seeds.
type member struct {
	cmd     *exec.Cmd
	address string
}

// startGroup starts router processes that share a secret and have each other as seeds.
func startGroup(t *testing.T, count int) []member {
	t.Helper()
	engine := startEngine(t)
	secret := writeFile(t, "secret", "a secret of the instances")
	var seeds []map[string]any
	for i := range count {
		seeds = append(seeds, map[string]any{"instance": fmt.Sprint("i", i), "address": freeAddress(t)})
	}
	var group []member
	for i, seed := range seeds {
		address := freeAddress(t)
		settings := readSettings(t, writeSettings(t, address, engine.Backend()))
		settings["instance"] = seed["instance"]
		settings["zone"] = fmt.Sprint("zone-", i)
		settings["peer"] = map[string]any{"listen": seed["address"], "secret_file": secret, "seeds": seeds}
		text, err := json.Marshal(settings)
		if err != nil {
			t.Fatal(err)
		}
		cmd := command(t, "run", "--settings", writeFile(t, "member.jsonc", string(text)))
		if err = cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		group = append(group, member{cmd: cmd, address: address})
	}
	return group
}

func readSettings(t *testing.T, file string) map[string]any {
	t.Helper()
	var out map[string]any
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err = json.Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// offered returns the sorted addresses that a router offers to callers, or nil if it
// does not respond.
func (r member) offered() []string {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.address+"/v1/addresses", nil)
	if err != nil {
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+key)
	var resp *http.Response
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer wasabiaddress.Response
	if err = json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil
	}
	var out []string
	for _, a := range answer.Addresses {
		out = append(out, strings.TrimPrefix(a.URL, "http://"))
	}
	slices.Sort(out)
	return out
}

// waitOffers waits until a router offers exactly the addresses of the given members.
func (r member) waitOffers(t *testing.T, want ...member) {
	t.Helper()
	var addresses, got []string
	for _, w := range want {
		addresses = append(addresses, w.address)
	}
	slices.Sort(addresses)
	deadline := time.Now().Add(time.Minute)
	for time.Now().Before(deadline) {
		if got = r.offered(); slices.Equal(got, addresses) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s offers %v, want %v", r.address, got, addresses)
}

// Guards against offering failed routers to callers. One router is killed and another is
// paused: the remaining one must stop offering both and still serve requests. After the
// paused router resumes, it must be offered again, and must still have the other members
// in its view.
func TestKilledAndFrozenRoutersAreNotOffered(t *testing.T) {
	group := startGroup(t, 3)
	killed, paused, living := group[0], group[1], group[2]
	for _, r := range group {
		r.waitOffers(t, group...)
	}
	offers := func(event string, by member, want ...member) {
		t.Helper()
		started := time.Now()
		by.waitOffers(t, want...)
		t.Logf("%s: reflected in the offers after %v", event, time.Since(started))
		if text := ask(t, by.address); !strings.HasSuffix(text, "data: [DONE]\n\n") {
			t.Errorf("incomplete response: %s", text)
		}
	}
	if err := killed.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	offers("killed", living, paused, living)
	if err := paused.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	offers("paused", living, living)
	if err := paused.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	offers("resumed", living, paused, living)
	offers("resumed, by its own view", paused, paused, living)
}
