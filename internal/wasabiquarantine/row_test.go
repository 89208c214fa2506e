package wasabiquarantine_test

import (
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// A kept bar holds for an instance that reads it later, for as long as it would have.
func TestBarsAreKept(t *testing.T) {
	g, b := NewWithT(t), newBench()
	b.ends(1, "s1", "s2", "s3")
	const written = wasabiridge.Millis(5e9)
	kept := b.table.TakeNews(b.now).Wide
	g.Expect(kept).To(HaveLen(1))
	value, err := wasabiquarantine.EncodeRow(written, kept[0])
	g.Expect(err).NotTo(HaveOccurred())
	row := wasabiridge.Row{Key: wasabiquarantine.RowKey(1), Value: value}
	for after, want := range map[wasabiridge.Millis]wasabiridge.Standing{
		10 * wasabiridge.Second: wasabiridge.StandingBarred,
		// The clock of the reader is behind that of the writer.
		-5 * wasabiridge.Second:   wasabiridge.StandingBarred,
		100 * wasabiridge.Second:  wasabiridge.StandingSuspect,
		90 * wasabiridge.Minute:   wasabiridge.StandingSuspect,
		1000 * wasabiridge.Minute: wasabiridge.StandingSuspect,
	} {
		other := newBench()
		news, err := wasabiquarantine.DecodeRow(written+after, row)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(wasabiquarantine.IsOver(news)).To(Equal(after > wasabiquarantine.RowLife))
		other.hear(news)
		g.Expect(other.table.Judge(other.now, asked(1))).To(Equal(want), "after %d", after)
	}
}

func TestRowsThatAreNone(t *testing.T) {
	cases := map[string]wasabiridge.Row{
		"no name":  {Key: wasabiquarantine.RowPrefix, Value: []byte("{}")},
		"a name":   {Key: wasabiquarantine.RowPrefix + "shop", Value: []byte("{}")},
		"no value": {Key: wasabiquarantine.RowKey(1)},
		"a list":   {Key: wasabiquarantine.RowKey(1), Value: []byte("[]")},
	}
	for _, name := range wasabitest.Names(cases) {
		_, err := wasabiquarantine.DecodeRow(0, cases[name])
		NewWithT(t).Expect(errorx.IsOfType(err, wasabiridge.ErrInvalid)).To(BeTrue(), name)
	}
}
