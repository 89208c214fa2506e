package wasabiquarantine_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// Guards against a request that crashes servers again after a restart of all instances,
// because a restore of the store has lost its block.
func TestBlocksAreWrittenAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	clock := wasabiclock.NewVirtual(1e9)
	table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})
	empty := table.Copy()
	var epoch atomic.Uint64
	k := wasabiquarantine.NewController(wasabiquarantine.ControllerOptions{
		Self: "i1", Clock: clock, Seed: 1, Log: zerolog.Nop(), Rows: table,
		Epoch: func() wasabiridge.StoreEpoch { return wasabiridge.StoreEpoch(epoch.Load()) },
	})
	loop := wasabiloop.New(wasabiloop.Options{Decider: tableDecider{k.Table()}, Clock: clock})
	t.Cleanup(loop.Close)
	k.SetLoop(loop)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go k.Run(ctx)
	const fingerprint = wasabiridge.Fingerprint(0xabc)
	blocked := wasabiridge.CrashUpdate{Fingerprint: fingerprint, Account: "shop", Model: "m"}
	for i := range 3 {
		blocked.Crashes = append(blocked.Crashes, wasabiridge.ServerCrash{Backend: wasabiridge.BackendServerID(fmt.Sprint("e", i)), RunTime: 50, Age: wasabiridge.Millis(1000 * (i + 1))})
	}
	k.Receive(wasabiridge.StateUpdate{From: "i2", Crashes: []wasabiridge.CrashUpdate{blocked}})
	stored := func() uint64 {
		row, err := table.Get(ctx, wasabiquarantine.RowKey(fingerprint))
		g.Expect(err).NotTo(HaveOccurred())
		return row.Revision
	}
	g.Eventually(stored, "9s").ShouldNot(BeZero())
	table.Restore(empty)
	g.Expect(stored()).To(BeZero())
	epoch.Add(1)
	g.Eventually(stored, "9s").ShouldNot(BeZero())
}
