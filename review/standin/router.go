package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is a process of the project's router.
type router struct {
	name, front, ready, directory, control string
	process                                *exec.Cmd
	log                                    *os.File
}

// startRouters starts routers with the command of the deploy file. Their settings are made
// from the deploy file's template. The bounds are those of a small installation.
func startRouters(count int, storeAddress, folder string) []*router {
	template, err := os.ReadFile("deploy/router.jsonc.tmpl")
	check(err)
	var out []*router
	for i := range count {
		out = append(out, &router{
			name: fmt.Sprintf("front-hall-%d", i+1), front: freeAddress(), ready: freeAddress(), directory: freeAddress(), control: freeAddress(),
		})
	}
	var seeds []any
	for _, r := range out {
		seeds = append(seeds, r.control)
	}
	for _, r := range out {
		metrics := freeAddress()
		port := json.Number(metrics[strings.LastIndexByte(metrics, ':')+1:])
		fields := map[string]any{
			"nodeName": r.name, "zone": "hall", "region": "addis", "ip": "127.0.0.1",
			"bind":      map[string]any{"front": r.front, "ready": r.ready, "control": r.control, "directory": r.directory},
			"portRange": []any{port, port},
			"seeds":     seeds,
			"limits":    map[string]any{"cpuShare": 0.4, "memoryMb": 284},
			"contracts": []any{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
			"bounds": map[string]any{
				"revokeMs": 5000, "configApplyMs": 2000, "propagationMs": 12000, "leaseMs": 3000, "graceS": 8, "ttl_max_s": 5,
				"retryBudgetRatio": 0.2, "retrySlack": 58, "budgetWindowS": 10,
			},
			"platform": map[string]any{"address": storeAddress},
		}
		file := filepath.Join(folder, r.name+".jsonc")
		check(os.WriteFile(file, []byte(render(string(template), []any{fields}, "")), 0o600))
		r.log, err = os.Create(filepath.Join(folder, r.name+".log"))
		check(err)
		r.process = exec.Command("target/wasabirouter", "run", "--settings", file)
		r.process.Stdout, r.process.Stderr = r.log, r.log
		// The router ends with this process, also if this one is killed.
		r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		check(r.process.Start())
	}
	return out
}

// awaitReady waits until all routers are ready.
func awaitReady(routers []*router) {
	deadline := time.Now().Add(15 * time.Second)
	for _, r := range routers {
		for {
			response, err := http.Get("http://" + r.ready + "/api/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fatal("router %s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stopRouters ends the processes.
func stopRouters(routers []*router) {
	for _, r := range routers {
		_ = r.process.Process.Kill()
		_ = r.process.Wait()
		_ = r.log.Close()
	}
}

var taken = map[string]bool{}

// freeAddress returns a loopback address below the ephemeral ports.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if taken[address] {
			continue
		}
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = socket.Close()
		taken[address] = true
		return address
	}
}

// render fills in a template of the platform, as the page on deployment describes it.
func render(text string, scope []any, comma string) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		text = after
		switch {
		case tag == ",":
			out.WriteString(comma)
		case strings.HasPrefix(tag, "#"), strings.HasPrefix(tag, "^"):
			name := tag[1:]
			section, behind, _ := strings.Cut(text, "{{/"+name+"}}")
			text = behind
			value := lookUp(scope, name)
			list, isList := value.([]any)
			switch {
			case tag[0] == '^':
				if value == nil || value == false {
					out.WriteString(render(section, scope, comma))
				}
			case isList:
				for i, entry := range list {
					between := ","
					if i == len(list)-1 {
						between = ""
					}
					out.WriteString(render(section, append(append([]any{}, scope...), entry), between))
				}
			case value != nil && value != false:
				out.WriteString(render(section, append(append([]any{}, scope...), value), comma))
			}
		default:
			name, asJSON := strings.CutSuffix(tag, "|json")
			value := lookUp(scope, name)
			switch {
			case value == nil:
			case asJSON:
				data, err := json.Marshal(value)
				check(err)
				out.Write(data)
			default:
				fmt.Fprint(&out, value)
			}
		}
	}
}

// lookUp resolves a dotted name in the innermost entry that has it.
func lookUp(scope []any, name string) any {
	if name == "." {
		return scope[len(scope)-1]
	}
	for i := len(scope) - 1; i >= 0; i-- {
		value, found := scope[i], true
		for _, part := range strings.Split(name, ".") {
			switch v := value.(type) {
			case map[string]any:
				value, found = v[part]
			case []any:
				var index int
				_, err := fmt.Sscan(part, &index)
				if found = err == nil && index < len(v); found {
					value = v[index]
				}
			default:
				found = false
			}
			if !found {
				break
			}
		}
		if found {
			return value
		}
	}
	return nil
}
