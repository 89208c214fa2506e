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
	// answerLifetime is how long a leaving router still accepts requests.
	answerLifetime = wasabiridge.Second / 2
	drainLimit     = 5 * wasabiridge.Second
)

var zones = [...]wasabiridge.AvailabilityZone{"port-of-spain", "san-fernando"}

// engineSpec makes a cold manual take about a third of a second.
var engineSpec = wasabifake.Spec{
	BlockTokens: blockTokens, CacheBlocks: 64, Slots: 16, QueueLimit: 64, Prefill: 25, Decode: 8,
}

// stage holds everything that the demo runs.
type stage struct {
	clock    wasabiridge.Clock
	folder   string
	engines  []*wasabiengine.Engine
	service  *wasabiservice.Service
	platform *wasabiserver.Server
	standIn  *wasabiplatform.StandIn
	routers  []*wasabidaemon.Daemon
	ended    chan error
}

// newStage starts all parts. On an error nothing is left running.
func newStage(clock wasabiridge.Clock) (*stage, error) {
	s := &stage{clock: clock, ended: make(chan error, len(zones))}
	for _, step := range []func() error{s.startBackends, s.startPlatform, s.startRouters} {
		if err := step(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *stage) startBackends() error {
	for i := range engineCount {
		spec := engineSpec
		spec.ID = wasabiridge.BackendServerID(fmt.Sprintf("answer-%d", i+1))
		e := wasabiengine.New(wasabiengine.Options{Spec: spec, Model: "stairlift", Clock: s.clock})
		s.engines = append(s.engines, e)
		if err := e.Start(loopback); err != nil {
			return err
		}
	}
	s.service = wasabiservice.New("bookings-1")
	return s.service.Start(loopback)
}

func (s *stage) startPlatform() error {
	s.standIn = wasabiplatform.NewStandIn(wasabiplatform.StandInOptions{Clock: s.clock})
	s.platform = wasabiserver.New(s.standIn.Handler())
	return s.platform.Start(loopback)
}

// startRouters starts one router in each zone and puts the configuration as an
// operator does. The routers spread it.
func (s *stage) startRouters() error {
	var err error
	if s.folder, err = os.MkdirTemp("", "wasabiridge-demo-"); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "demo: folder for the secret")
	}
	if err = os.WriteFile(s.secretPath(), []byte("shared by all instances of the demo"), 0o600); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "demo: secret")
	}
	for i := range zones {
		if err = s.startRouter(i); err != nil {
			return err
		}
	}
	return s.putConfig()
}

func (s *stage) secretPath() string {
	return filepath.Join(s.folder, "instances.secret")
}

func (s *stage) putConfig() error {
	var text []byte
	var err error
	if text, err = json.MarshalIndent(s.config(), "", "  "); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "demo: configuration")
	}
	client := wasabiclient.New(wasabiclient.Options{
		Addresses: []string{s.routers[0].OperatorURL()}, Key: operatorKey, Operator: "demo",
	})
	_, err = client.PutConfig(context.Background(), 0, text)
	return err
}

// startRouter starts a router and enters it into the platform's list, where
// the others find it.
func (s *stage) startRouter(i int) error {
	platform := s.standIn.Settings(s.platform.URL())
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
			Peer:  wasabisettings.PeerListener{Listen: loopback, SecretFile: s.secretPath()},
			Drain: wasabisettings.Drain{AnswerLifetime: answerLifetime, Limit: drainLimit},
		},
		Clock: s.clock,
	})
	if err != nil {
		return err
	}
	s.routers = append(s.routers, d)
	s.standIn.Instances.Set(d.Entry())
	go func() { s.ended <- d.Run() }()
	return nil
}

// crashBusy ends the life of the engine that is answering and starts its next
// one, with a cold cache. It reports false when none is answering.
func (s *stage) crashBusy() (wasabiridge.BackendServerID, bool) {
	for _, e := range s.engines {
		if e.Load().Running == 0 {
			continue
		}
		e.Crash()
		return e.Backend().ID, e.Start(loopback) == nil
	}
	return "", false
}

// drain makes the routers leave and waits for them.
func (s *stage) drain() error {
	for _, d := range s.routers {
		if err := d.Drain(context.Background()); err != nil {
			return err
		}
	}
	for range s.routers {
		if err := <-s.ended; err != nil {
			return err
		}
	}
	return nil
}

// close ends everything behind the routers.
func (s *stage) close() {
	for _, e := range s.engines {
		e.Close()
	}
	if s.service != nil {
		s.service.Close()
	}
	if s.platform != nil {
		s.platform.Crash()
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}

// explain prints what a newcomer needs to try the routers by hand.
func (s *stage) explain(out io.Writer) {
	fmt.Fprintf(out, "\nEverything stays up until you interrupt it.\n\n")
	for i, d := range s.routers {
		fmt.Fprintf(out, "router-%d   %s   operators %s   zone %s\n", i+1, d.URL(), d.OperatorURL(), zones[i])
	}
	for _, e := range s.engines {
		fmt.Fprintf(out, "%s   %s   engine\n", e.Backend().ID, e.URL())
	}
	fmt.Fprintf(out, "%s %s   plain service\n", s.service.Backend().ID, s.service.URL())
	fmt.Fprintf(out, "platform   %s   table, objects, weights, instances\n", s.platform.URL())
	fmt.Fprintf(out, "\nKeys: %s (liftwell), %s (selam-mix), %s (operators).\n", liftwellKey, selamKey, operatorKey)
	fmt.Fprintf(out, lines, s.routers[0].URL(), liftwellKey, s.routers[0].OperatorURL(), operatorKey)
}

// lines takes the address of a router and the key of a client account, then the
// same for operators.
const lines = `
curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' \
  -d '{"model":"stairlift","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Code E4?"}]}'
curl -i %[1]s/bookings -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: visit-1' -d '{"house":"12 Frederick St"}'
curl '%[1]s/v1/addresses?zone=san-fernando' -H 'Authorization: Bearer %[2]s'
curl %[1]s/v1/models -H 'Authorization: Bearer %[2]s'
go run ./cmd/wasabictl timeline --since 1m --address %[3]s --key %[4]s
go run ./cmd/wasabictl config status --address %[3]s --key %[4]s
`

func (s *stage) config() wasabiridge.Config {
	pools := []wasabiridge.Pool{{ID: "answer", BlockTokens: blockTokens}, {ID: "bookings"}}
	for i, e := range s.engines {
		b := e.Backend()
		b.Zone = zones[i%len(zones)]
		pools[0].Backends = append(pools[0].Backends, b)
	}
	service := s.service.Backend()
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
