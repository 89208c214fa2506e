package wasabiquarantine_test

import (
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// Guards against blocks that are lost or prolonged by a restart: a stored block lasts as
// long at an instance that loads it as it would have at the writer.
func TestBlocksAreStored(t *testing.T) {
	g, b := NewWithT(t), newTableDriver()
	b.endServers(1, "s1", "s2", "s3")
	const written = wasabiridge.Millis(5e9)
	stored := b.table.TakeUpdates(b.now).Wide
	g.Expect(stored).To(HaveLen(1))
	value, err := wasabiquarantine.EncodeRow(written, stored[0])
	g.Expect(err).NotTo(HaveOccurred())
	row := wasabiridge.Row{Key: wasabiquarantine.RowKey(1), Value: value}
	for after, want := range map[wasabiridge.Millis]wasabiridge.QuarantineVerdict{
		10 * wasabiridge.Second: wasabiridge.QuarantineBlocked,
		// The clock of the instance that loads the row is behind that of the writer.
		-5 * wasabiridge.Second:   wasabiridge.QuarantineBlocked,
		100 * wasabiridge.Second:  wasabiridge.QuarantineSuspect,
		90 * wasabiridge.Minute:   wasabiridge.QuarantineSuspect,
		1000 * wasabiridge.Minute: wasabiridge.QuarantineSuspect,
	} {
		other := newTableDriver()
		decoded, err := wasabiquarantine.DecodeRow(written+after, row)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(wasabiquarantine.IsExpired(decoded)).To(Equal(after > wasabiquarantine.RowRetention))
		other.receive(decoded)
		g.Expect(other.table.Check(other.now, requestWith(1))).To(Equal(want), "after %d", after)
	}
}

func TestInvalidRowsAreRejected(t *testing.T) {
	cases := map[string]wasabiridge.Row{
		"no fingerprint":                  {Key: wasabiquarantine.RowPrefix, Value: []byte("{}")},
		"a key that is not a fingerprint": {Key: wasabiquarantine.RowPrefix + "shop", Value: []byte("{}")},
		"no value":                        {Key: wasabiquarantine.RowKey(1)},
		"a list":                          {Key: wasabiquarantine.RowKey(1), Value: []byte("[]")},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		_, err := wasabiquarantine.DecodeRow(0, cases[name])
		NewWithT(t).Expect(errorx.IsOfType(err, wasabiridge.ErrInvalid)).To(BeTrue(), name)
	}
}
