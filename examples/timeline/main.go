// Command timeline shows the timeline of a request whose engine crashes within the
// response: the router resumes the stream on another engine, and each step is an event
// of the timeline.
//
//	go run ./examples/timeline
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicommand"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

const (
	callerKey   = "example-caller"
	operatorKey = "example-operator"
	loopback    = "127.0.0.1:0"
)

func main() {
	if err := run(); err != nil {
		log.Fatal(err)
	}
}

func run() error {
	folder, err := os.MkdirTemp("", "wasabiridge-example-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	engines, err := startEngines()
	if err != nil {
		return err
	}
	router, err := startRouter(filepath.Join(folder, "config.json"), engines)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- router.Run() }()
	if err := streamAndCrash(router.URL(), engines); err != nil {
		return err
	}
	showTimeline(router.OperatorURL())
	if err := router.Drain(context.Background()); err != nil {
		return err
	}
	return <-ended
}

func startEngines() ([]*wasabiengine.Engine, error) {
	var engines []*wasabiengine.Engine
	for _, id := range []wasabiridge.BackendServerID{"answer-1", "answer-2"} {
		e := wasabiengine.New(wasabiengine.Options{
			Clock: wasabiclock.System(), Model: "stairlift",
			Spec: wasabifake.Spec{ID: id, BlockTokens: 64, Prefill: 100, Decode: 20},
		})
		if err := e.Start(loopback); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	return engines, nil
}

func startRouter(file string, engines []*wasabiengine.Engine) (*wasabidaemon.Daemon, error) {
	pool := wasabiridge.Pool{ID: "answer", BlockTokens: 64}
	for _, e := range engines {
		pool.Backends = append(pool.Backends, e.Backend())
	}
	text, err := json.Marshal(wasabiridge.Config{
		Version:           1,
		OperatorKeyHashes: []string{wasabioperator.HashKey(operatorKey)},
		Accounts:          []wasabiridge.ClientAccount{{ID: "liftwell", KeyHashes: []string{wasabioperator.HashKey(callerKey)}, Pools: []wasabiridge.PoolID{"answer"}}},
		Pools:             []wasabiridge.Pool{pool},
		Rules:             []wasabiridge.Rule{{ID: "manuals", Then: wasabiridge.Action{Pool: "answer", Retry: true, Resume: true}}},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	settings := wasabisettings.Settings{
		Instance: "pos-1", Zone: "port-of-spain", ConfigFile: file,
		Caller: wasabisettings.Listener{Listen: loopback},
		Drain:  wasabisettings.Drain{AnswerLifetime: 1, Limit: wasabiridge.Second},
	}
	settings.Operator.Listen = loopback
	return wasabidaemon.New(wasabidaemon.Options{Settings: settings, Clock: wasabiclock.System()})
}

// streamAndCrash requests a stream and crashes the engine that generates it.
func streamAndCrash(url string, engines []*wasabiengine.Engine) error {
	body := `{"model":"stairlift","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"What does fault E4 mean?"}]}`
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Content-Type", "application/json")
	go func() {
		time.Sleep(400 * time.Millisecond)
		for _, e := range engines {
			if e.WrittenTokens() > 0 {
				e.Crash()
			}
		}
	}()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	fmt.Printf("HTTP %s, complete: %t\n\n", response.Status, bytes.Contains(answer, []byte("[DONE]")))
	return nil
}

// showTimeline prints the events of the account with wasabictl.
func showTimeline(operatorURL string) {
	args := []string{"--address", operatorURL, "--key", operatorKey, "timeline", "--account", "liftwell"}
	wasabicommand.Run(context.Background(), args, wasabicommand.Streams{Out: os.Stdout, Err: os.Stderr, Env: os.Getenv})
}
