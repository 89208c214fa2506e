package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// router is one router process. The platform restarts it when it ends.
type router struct {
	name, zone                             string
	front, ready, peer, directory, metrics string
	settings                               string
	log                                    *os.File

	mu      sync.Mutex
	process *os.Process
	starts  int
	stop    bool
	ended   chan struct{}
	// exits are the times at which the process ended.
	exits []time.Time
	state string
}

// freeAddress returns a loopback address that nothing listens on, below the ephemeral ports.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if socket, err := net.Listen("tcp", address); err == nil {
			_ = socket.Close()
			return address
		}
	}
}

// startRouters starts routers with settings as deploy/router.jsonc.tmpl has them for the site
// liftwell-tt.
func startRouters(s *store, dir string, zones ...string) []*router {
	var all []*router
	var seeds []any
	for i, zone := range zones {
		r := &router{name: fmt.Sprint("front-", zone, "-", i+1), zone: zone, front: freeAddress(), ready: freeAddress(), peer: freeAddress(), directory: freeAddress(), metrics: freeAddress()}
		all = append(all, r)
		if len(seeds) < 3 {
			seeds = append(seeds, map[string]any{"instance": r.peer, "address": r.peer})
		}
	}
	for _, r := range all {
		text, err := json.MarshalIndent(map[string]any{
			"instance": r.name, "zone": r.zone, "region": "trinidad", "capacity": 0.4, "memory_mb": 284, "max_descriptors": 4100,
			"caller": map[string]any{"listen": r.front},
			"peer":   map[string]any{"listen": r.peer, "open": true, "seeds": seeds},
			"hosted": map[string]any{
				"store": s.address, "ready": r.ready, "directory": r.directory, "metrics": r.metrics,
				"rules": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
				"bounds": map[string]any{
					"key_life_ms": 5000, "config_life_ms": 2000, "weights_life_ms": 12000, "turn_ms": 3000, "grace_s": graceS,
					"address_life_s": 5, "retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10,
				},
			},
		}, "", "  ")
		check(err)
		r.settings = filepath.Join(dir, r.name+".jsonc")
		check(os.WriteFile(r.settings, text, 0o600))
		r.log, err = os.Create(filepath.Join(dir, r.name+".log"))
		check(err)
		r.start()
	}
	return all
}

// start starts the process, and again 200 ms after it ends.
func (r *router) start() {
	r.ended = make(chan struct{})
	launch := func() *exec.Cmd {
		cmd := exec.Command("target/wasabirouter", "run", "--settings", r.settings)
		cmd.Stdout, cmd.Stderr = r.log, r.log
		if !startChild(cmd) {
			return nil
		}
		r.mu.Lock()
		r.process, r.starts = cmd.Process, r.starts+1
		r.mu.Unlock()
		return cmd
	}
	cmd := launch()
	go func() {
		defer close(r.ended)
		for {
			err := cmd.Wait()
			r.mu.Lock()
			r.exits, r.state = append(r.exits, time.Now()), fmt.Sprint(cmd.ProcessState, " ", err)
			stop := r.stop
			r.mu.Unlock()
			if stop {
				return
			}
			time.Sleep(200 * time.Millisecond)
			r.mu.Lock()
			stop = r.stop
			r.mu.Unlock()
			if stop {
				return
			}
			if cmd = launch(); cmd == nil {
				return
			}
		}
	}()
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.process.Signal(s)
}

func (r *router) exitCount() (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.exits), r.state
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after graceS. It
// returns when it was sent.
func (r *router) terminate() time.Time {
	before, _ := r.exitCount()
	at := time.Now()
	r.signal(syscall.SIGTERM)
	time.AfterFunc(graceS*time.Second, func() {
		if n, _ := r.exitCount(); n == before {
			record("%s %s still runs %d s after SIGTERM: SIGKILL", since(), r.name, graceS)
			r.signal(syscall.SIGKILL)
		}
	})
	return at
}

func stopRouters(all []*router) {
	for _, r := range all {
		r.mu.Lock()
		r.stop = true
		_ = r.process.Signal(syscall.SIGCONT)
		_ = r.process.Kill()
		r.mu.Unlock()
	}
	for _, r := range all {
		<-r.ended
		_ = r.log.Close()
	}
}

// isReady asks the process as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// resolve asks the directory as a client does.
func (r *router) resolve(zone string) (addresses []string, ttl time.Duration) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.directory + "/api/resolve?name=" + host + "&region=trinidad&zone=" + zone)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(data, &out) != nil {
		return nil, 0
	}
	return out.Addresses, time.Duration(min(out.TTL, ttlMaxS) * float64(time.Second))
}

// kill ends the process at once.
func (r *router) kill() { r.signal(syscall.SIGKILL) }

// waitReady waits until all routers are ready and returns when they were.
func (d *deployment) waitReady() time.Time {
	time.Sleep(100 * time.Millisecond)
	for _, r := range d.routers {
		for i := 0; !r.isReady(); i++ {
			if i == 100 {
				panic(r.name + " is not ready again")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Now()
}
