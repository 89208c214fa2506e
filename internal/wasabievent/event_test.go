package wasabievent_test

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabievent"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestEvent(t *testing.T) { wasabitest.Run(t, "event") }

// lineEnds are the line ends of the format.
var lineEnds = map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"}

// split passes a stream to a splitter in reads whose sizes next returns.
func split(stream string, next func() int) (whole string, count int, s *wasabievent.Splitter) {
	s = &wasabievent.Splitter{}
	for data := []byte(stream); len(data) > 0; {
		n := min(len(data), max(1, next()))
		for _, block := range s.Add(data[:n]) {
			whole += string(block.Text)
			if block.Event {
				count++
			}
		}
		data = data[n:]
	}
	return whole, count, s
}

var _ = Describe("A stream of events", func() {
	cases := map[string]struct {
		stream, rest string
		count        int
		partial      bool
	}{
		"whole":                          {stream: "id: 1\ndata: a\n\nid: 2\n\n", count: 2},
		"empty":                          {},
		"of comments":                    {stream: ": a\n\n: b\n\n"},
		"with a comment behind":          {stream: "data: a\n\n: end\n", rest: ": end\n", count: 1},
		"with a byte order mark":         {stream: "\xef\xbb\xbf: a\n\ndata: b\n\n", count: 1},
		"with further empty lines":       {stream: "data: a\n\n\n\n", count: 1},
		"cut off in a line":              {stream: "data: a\n\nda", rest: "da", count: 1, partial: true},
		"cut off before its empty line":  {stream: "data: a\n", rest: "data: a\n", partial: true},
		"cut off in a comment":           {stream: "data: a\n\n: e", rest: ": e", count: 1, partial: true},
		"cut off in CRLF behind a field": {stream: "data: a\r", rest: "data: a\r", partial: true},
		"cut off in the last CRLF":       {stream: "data: a\r\n\r", rest: "data: a\r\n\r", partial: true},
		"of CRLF and then CR":            {stream: "data: a\r\n\rdata: b\r\r", count: 2},
		"of mixed line ends":             {stream: "data: a\r\n\ndata: b\r\rdata: c\n\r\n", count: 3},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is split: "+name, func() {
			c := cases[name]
			for size := 1; size <= max(1, len(c.stream)); size++ {
				whole, count, s := split(c.stream, func() int { return size })
				Expect(whole + string(s.Rest())).To(Equal(c.stream))
				Expect(string(s.Rest())).To(Equal(c.rest), "reads of %d", size)
				Expect(count).To(Equal(c.count))
				Expect(s.Partial() > 0).To(Equal(c.partial))
			}
		})
	}

	// Guards against a part of an event that is passed on, or taken for a whole one.
	for _, name := range slices.Sorted(maps.Keys(lineEnds)) {
		It("is cut off at any byte in drawn reads, lines end in "+name, func() {
			end := lineEnds[name]
			event := "id: 7" + end + ": note" + end + "data: abc" + end + end
			stream := strings.Repeat(event, 3)
			draw := rand.New(rand.NewPCG(54, uint64(len(end))))
			for cut := range len(stream) + 1 {
				whole, count, s := split(stream[:cut], func() int { return 1 + draw.IntN(9) })
				Expect(whole + string(s.Rest())).To(Equal(stream[:cut]))
				complete := cut / len(event)
				Expect(count).To(Equal(complete), "cut at %d", cut)
				Expect(s.Partial() > 0).To(Equal(cut > complete*len(event)), "cut at %d", cut)
			}
		})
	}

	It("names the last identifier", func() {
		Expect(wasabievent.LastID([]byte("id: 1\n\nid:2\n\n"))).To(Equal("2"))
		Expect(wasabievent.LastID([]byte("id: 1\rdata: id: 9\r\rid: 2\r\n\r\n"))).To(Equal("2"))
		Expect(wasabievent.LastID([]byte("\xef\xbb\xbfid: 3\n\n"))).To(Equal("3"))
		Expect(wasabievent.LastID([]byte("data: x\n\n"))).To(BeEmpty())
	})
})

// FuzzSplit checks that how a stream is split does not depend on the reads.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n: c\n\n"), uint8(2))
	f.Add([]byte("\xef\xbb\xbf\r\r\n\n:"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		whole, count, s := split(string(stream), func() int { return int(size) })
		atOnce, countAtOnce, t2 := split(string(stream), func() int { return len(stream) })
		if whole != atOnce || count != countAtOnce || s.Partial() != t2.Partial() {
			t.Fatalf("reads of %d bytes: %q, %d, %d; at once: %q, %d, %d", size, whole, count, s.Partial(), atOnce, countAtOnce, t2.Partial())
		}
		if !bytes.Equal(append([]byte(whole), s.Rest()...), stream) {
			t.Fatalf("bytes were changed: %q", stream)
		}
	})
}
