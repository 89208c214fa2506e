package wasabidemo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclient"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
	"github.com/wasabiridge/wasabiridge/internal/wasabiservice"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

const (
	loopback    = "127.0.0.1:0"
	liftwellKey = "liftwell-demo-key"
	selamKey    = "selam-demo-key"
	operatorKey = "operator-demo-key"
	blockTokens = 256
	engineCount = 4
	// answerLifetime is how long a leaving router still accepts requests,
	// because callers may hold an address list that contains it.
	answerLifetime = wasabiridge.Second / 2
	drainLimit     = 5 * wasabiridge.Second
)

var zones = [...]wasabiridge.AvailabilityZone{"port-of-spain", "san-fernando"}

// engineSpec has a prefill cost at which an uncached manual takes about a third
// of a second.
var engineSpec = wasabifake.Spec{
	BlockTokens: blockTokens, CacheBlocks: 64, Slots: 16, QueueLimit: 64, Prefill: 25, Decode: 8,
}

// environment holds the processes and servers of the demo.
type environment struct {
	clock     wasabiridge.Clock
	directory string
	engines   []*wasabiengine.Engine
	service   *wasabiservice.Service
	platform  *wasabiserver.Server
	standIn   *wasabiplatform.StandIn
	routers   []*wasabidaemon.Daemon
	ended     chan error
}

// newEnvironment starts engines, service, platform and routers. On an error it
// calls close.
func newEnvironment(clock wasabiridge.Clock) (*environment, error) {
	env := &environment{clock: clock, ended: make(chan error, len(zones))}
	for _, step := range []func() error{env.startBackends, env.startPlatform, env.startRouters} {
		if err := step(); err != nil {
			env.close()
			return nil, err
		}
	}
	return env, nil
}

func (env *environment) startBackends() error {
	for i := range engineCount {
		spec := engineSpec
		spec.ID = wasabiridge.BackendServerID(fmt.Sprintf("answer-%d", i+1))
		e := wasabiengine.New(wasabiengine.Options{Spec: spec, Model: "stairlift", Clock: env.clock})
		env.engines = append(env.engines, e)
		if err := e.Start(loopback); err != nil {
			return err
		}
	}
	env.service = wasabiservice.New("bookings-1")
	return env.service.Start(loopback)
}

func (env *environment) startPlatform() error {
	env.standIn = wasabiplatform.NewStandIn(wasabiplatform.StandInOptions{Clock: env.clock})
	env.platform = wasabiserver.New(env.standIn.Handler())
	return env.platform.Start(loopback)
}

// startRouters starts one router in each zone and uploads the configuration to
// the first one through the operator API. That router distributes it.
func (env *environment) startRouters() error {
	var err error
	if env.directory, err = os.MkdirTemp("", "wasabiridge-demo-"); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "demo: create directory for the secret")
	}
	if err = os.WriteFile(env.secretPath(), []byte("shared by all instances of the demo"), 0o600); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "demo: write secret")
	}
	for i := range zones {
		if err = env.startRouter(i); err != nil {
			return err
		}
	}
	return env.putConfig()
}

func (env *environment) secretPath() string {
	return filepath.Join(env.directory, "instances.secret")
}

func (env *environment) putConfig() error {
	var text []byte
	var err error
	if text, err = json.MarshalIndent(env.config(), "", "  "); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "demo: encode configuration")
	}
	client := wasabiclient.New(wasabiclient.Options{
		Addresses: []string{env.routers[0].OperatorURL()}, Key: operatorKey, Operator: "demo",
	})
	_, err = client.PutConfig(context.Background(), 0, text)
	return err
}

// startRouter starts a router and adds it to the instance list of the platform,
// from which the other routers discover it.
func (env *environment) startRouter(i int) error {
	platform := env.standIn.Settings(env.platform.URL())
	var d *wasabidaemon.Daemon
	var err error
	d, err = wasabidaemon.New(wasabidaemon.Options{
		Settings: wasabisettings.Settings{
			Instance: wasabiridge.InstanceID(fmt.Sprintf("router-%d", i+1)), Zone: zones[i],
			Platform: &platform,
			Caller:   wasabisettings.Listener{Listen: loopback},
			Operator: wasabisettings.OperatorListener{
				Listener:  wasabisettings.Listener{Listen: loopback},
				KeyHashes: []string{hashOf(operatorKey)},
			},
			Peer:  wasabisettings.PeerListener{Listen: loopback, SecretFile: env.secretPath()},
			Drain: wasabisettings.Drain{AnswerLifetime: answerLifetime, Limit: drainLimit},
		},
		Clock: env.clock,
	})
	if err != nil {
		return err
	}
	env.routers = append(env.routers, d)
	env.standIn.Instances.Set(d.InstanceEntry())
	go func() { env.ended <- d.Run() }()
	return nil
}

// crashServingEngine crashes the first engine with a running request and restarts
// it with an empty cache. It reports false if there is none or the restart fails.
func (env *environment) crashServingEngine() (wasabiridge.BackendServerID, bool) {
	for _, e := range env.engines {
		if e.Load().Running == 0 {
			continue
		}
		e.Crash()
		return e.Backend().ID, e.Start(loopback) == nil
	}
	return "", false
}

// drain drains all routers and waits until they have ended.
func (env *environment) drain() error {
	for _, d := range env.routers {
		if err := d.Drain(context.Background()); err != nil {
			return err
		}
	}
	for range env.routers {
		if err := <-env.ended; err != nil {
			return err
		}
	}
	return nil
}

// close stops the engines, the service and the platform and removes the directory
// with the secret. Routers are stopped by drain.
func (env *environment) close() {
	for _, e := range env.engines {
		e.Close()
	}
	if env.service != nil {
		env.service.Close()
	}
	if env.platform != nil {
		env.platform.Crash()
	}
	if env.directory != "" {
		_ = os.RemoveAll(env.directory)
	}
}

// printUsage prints the addresses and keys of the running system, and commands to
// try.
func (env *environment) printUsage(out io.Writer) {
	fmt.Fprintf(out, "\nThe system keeps running until it is interrupted.\n\n")
	for i, d := range env.routers {
		fmt.Fprintf(out, "router-%d   %s   operators %s   zone %s\n", i+1, d.URL(), d.OperatorURL(), zones[i])
	}
	for _, e := range env.engines {
		fmt.Fprintf(out, "%s   %s   engine\n", e.Backend().ID, e.URL())
	}
	fmt.Fprintf(out, "%s %s   plain service\n", env.service.Backend().ID, env.service.URL())
	fmt.Fprintf(out, "platform   %s   table, objects, weights, instances\n", env.platform.URL())
	fmt.Fprintf(out, "\nKeys: %s (liftwell), %s (selam-mix), %s (operators).\n", liftwellKey, selamKey, operatorKey)
	fmt.Fprintf(out, exampleCommands, env.routers[0].URL(), liftwellKey, env.routers[0].OperatorURL(), operatorKey)
}

// exampleCommands is a format with four arguments: the address of a router and the
// key of a client account, then the operator address and the operator key.
const exampleCommands = `
curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' \
  -d '{"model":"stairlift","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Code E4?"}]}'
curl -i %[1]s/bookings -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: visit-1' -d '{"house":"12 Frederick St"}'
curl '%[1]s/v1/addresses?zone=san-fernando' -H 'Authorization: Bearer %[2]s'
curl %[1]s/v1/models -H 'Authorization: Bearer %[2]s'
go run ./cmd/wasabictl timeline --since 1m --address %[3]s --key %[4]s
go run ./cmd/wasabictl config status --address %[3]s --key %[4]s
`

func (env *environment) config() wasabiridge.Config {
	pools := []wasabiridge.Pool{{ID: "answer", BlockTokens: blockTokens}, {ID: "bookings"}}
	for i, e := range env.engines {
		b := e.Backend()
		b.Zone = zones[i%len(zones)]
		pools[0].Backends = append(pools[0].Backends, b)
	}
	service := env.service.Backend()
	service.Zone = zones[0]
	pools[1].Backends = append(pools[1].Backends, service)
	return wasabiridge.Config{
		OperatorKeyHashes: []string{hashOf(operatorKey)},
		Accounts: []wasabiridge.ClientAccount{
			{ID: "liftwell", KeyHashes: []string{hashOf(liftwellKey)}, Pools: []wasabiridge.PoolID{"answer", "bookings"}},
			{ID: "selam-mix", KeyHashes: []string{hashOf(selamKey)}, Pools: []wasabiridge.PoolID{"answer"}},
		},
		Pools: pools,
		Rules: []wasabiridge.Rule{
			{
				ID:   "bookings",
				When: wasabiridge.Condition{Methods: []string{"POST"}, Path: "/bookings"},
				Then: wasabiridge.Action{Pool: "bookings", NonIdempotent: true},
			},
			{
				ID:   "catalogue",
				When: wasabiridge.Condition{Methods: []string{"GET"}, Path: "/catalogue/*"},
				Then: wasabiridge.Action{Pool: "bookings", Retry: true},
			},
			{
				ID:   "answers",
				When: wasabiridge.Condition{Path: "/v1/*"},
				Then: wasabiridge.Action{Pool: "answer", Model: "stairlift", Retry: true, Resume: true},
			},
		},
	}
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
