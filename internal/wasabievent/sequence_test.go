package wasabievent_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabievent"
)

var _ = Describe("An event", func() {
	events := map[string]struct {
		text  string
		id    int64
		fault wasabievent.Fault
	}{
		"plain":                        {text: "id: 7\ndata: a\n\n", id: 7},
		"without spaces":               {text: "id:7\ndata:a\n\n", id: 7},
		"whose lines end in CRLF":      {text: "id: 7\r\ndata: a\r\n\r\n", id: 7},
		"whose lines end in CR":        {text: "id: 7\rdata: a\r\r", id: 7},
		"with a byte order mark":       {text: "\xef\xbb\xbfid: 7\ndata: a\n\n", fault: wasabievent.FaultField},
		"with several lines of data":   {text: "id: 7\ndata: a\ndata\ndata: b: c\n\n", id: 7},
		"with a type":                  {text: "event: token\nid: 7\nretry: 3\ndata: a\n\n", id: 7},
		"with comments":                {text: ": a\n:\nid: 7\n: b\ndata: a\n\n", id: 7},
		"with an extension field":      {text: "weight-versions: 3\nid: 7\ndata: a\n\n", id: 7},
		"with any bytes in its data":   {text: "id: 7\ndata: \xff\x00HTTP/1.1 200 OK\n\n", id: 7},
		"of the largest number":        {text: "id: 9223372036854775807\ndata: a\n\n", id: 9223372036854775807},
		"with an id of zero":           {text: "id: 0\ndata: a\n\n", id: 0},
		"without an id":                {text: "data: a\n\n", fault: wasabievent.FaultNoID},
		"with an empty id":             {text: "id:\ndata: a\n\n", fault: wasabievent.FaultNumber},
		"with an id without a colon":   {text: "id\ndata: a\n\n", fault: wasabievent.FaultNumber},
		"with an id of text":           {text: "id: x7\ndata: a\n\n", fault: wasabievent.FaultNumber},
		"with a negative id":           {text: "id: -7\ndata: a\n\n", fault: wasabievent.FaultNumber},
		"with a signed id":             {text: "id: +7\ndata: a\n\n", fault: wasabievent.FaultNumber},
		"with a zero before its id":    {text: "id: 07\ndata: a\n\n", id: 7},
		"with another blank by its id": {text: "id: \u00a07\ndata: a\n\n", fault: wasabievent.FaultNumber},
		"with an id of many digits":    {text: "id: 9223372036854775808\ndata: a\n\n", fault: wasabievent.FaultNumber},
		"with two ids":                 {text: "id: 7\nid: 8\ndata: a\n\n", fault: wasabievent.FaultIDs},
		"with one id twice":            {text: "id: 7\nid: 7\ndata: a\n\n", fault: wasabievent.FaultIDs},
		"without data":                 {text: "id: 7\n\n", fault: wasabievent.FaultNoData},
		"that is text":                 {text: "some text\n\n", fault: wasabievent.FaultField},
		"behind text":                  {text: "some text\nid: 7\ndata: a\n\n", fault: wasabievent.FaultField},
		"that is a response":           {text: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", fault: wasabievent.FaultField},
		"with a header":                {text: "Content-Length: 0\r\nid: 7\r\ndata: a\r\n\r\n", fault: wasabievent.FaultField},
		"with an id in capitals":       {text: "ID: 7\ndata: a\n\n", fault: wasabievent.FaultField},
		"with a space before its id":   {text: " id: 7\ndata: a\n\n", fault: wasabievent.FaultField},
		"with a byte order mark more":  {text: "data: a\n\xef\xbb\xbfid: 7\n\n", fault: wasabievent.FaultField},
	}
	for _, name := range slices.Sorted(maps.Keys(events)) {
		It("is read: "+name, func() {
			c := events[name]
			id, fault := wasabievent.Parse([]byte(c.text))
			Expect(fault).To(Equal(c.fault))
			if fault == "" {
				Expect(id).To(Equal(c.id))
			}
		})
	}
})

// event returns an event with an identifier.
func event(id int) []byte { return fmt.Appendf(nil, "id: %d\ndata: a\n\n", id) }

// check passes events with identifiers to the check of a response, and returns the verdicts as
// a text: d, k or r for each.
func check(s *wasabievent.Sequence, ids ...int) string {
	var out strings.Builder
	for _, id := range ids {
		verdict, _ := s.Next(event(id))
		out.WriteByte("dkr"[verdict])
		if verdict == wasabievent.Reject {
			break
		}
	}
	return out.String()
}

// learned returns the numbering after complete streams with the given identifiers.
func learned(streams int, ids ...int) *wasabievent.Numbering {
	n := &wasabievent.Numbering{}
	for range streams {
		s := wasabievent.NewSequence(n, "")
		check(s, ids...)
		s.End()
	}
	return n
}

var _ = Describe("The events of a response", func() {
	// Guards against an event of no run whose identifier is one that the stream had, or one that
	// is far ahead.
	cases := map[string]struct {
		numbering *wasabievent.Numbering
		after     string
		ids       []int
		want      string
		// end is the verdict on the end.
		end wasabievent.Verdict
	}{
		"begin with the first one":                 {ids: []int{1, 2, 3}, want: "ddd"},
		"go on behind the last one":                {after: "7", ids: []int{8, 9}, want: "dd"},
		"go on behind text":                        {after: "x", ids: []int{8, 9}, want: "dd"},
		"go on behind a number with zeros":         {after: "007", ids: []int{8, 9}, want: "dd"},
		"begin with zero":                          {ids: []int{0, 1, 2, 3, 4, 5}, want: "kkkkdd"},
		"begin with zero, known to":                {numbering: learned(1, 0, 1, 2), ids: []int{0, 1, 2}, want: "ddd"},
		"begin with zero, known to begin with one": {numbering: learned(8, 1, 2, 3), ids: []int{0}, want: "k", end: wasabievent.Reject},
		"go on behind zero":                        {after: "0", ids: []int{1, 2}, want: "dd"},
		"repeat zero":                              {after: "0", ids: []int{0}, want: "r"},
		"repeat one":                               {ids: []int{1, 2, 2}, want: "ddr"},
		"repeat one that the caller has":           {after: "7", ids: []int{7}, want: "r"},
		"go back":                                  {ids: []int{1, 2, 3, 1}, want: "dddr"},
		"skip one, known to be consecutive":        {numbering: learned(8, 1, 2, 3), ids: []int{1, 3}, want: "dk", end: wasabievent.Reject},
		"all skip others, known to be consecutive": {numbering: learned(8, 1, 2, 3), ids: []int{2, 4}, want: "kk"},
		"skip one, and go on before it":            {ids: []int{5, 1}, want: "kr"},
		"skip one, and go on at it":                {ids: []int{5, 5}, want: "kr"},
		"skip one, and go on behind it":            {ids: []int{5, 6, 9, 10, 12, 13}, want: "kkkkdd"},
		"skip one after others, and go on":         {ids: []int{1, 2, 3, 5, 6, 7, 8, 9}, want: "dddkkkkd"},
		"skip some, and go on where they were":     {ids: []int{1, 400, 401, 2}, want: "dkkr"},
		"are of another stream, then of this one":  {ids: []int{400, 401, 1}, want: "kkr"},
		"skip some and end after two":              {ids: []int{1, 400, 401}, want: "dkk", end: wasabievent.Reject},
		"are few that skip others":                 {ids: []int{10, 20}, want: "kk"},
		"are one, and not the first one":           {ids: []int{5}, want: "k"},
		"skip one and end":                         {ids: []int{1, 2, 9}, want: "ddk", end: wasabievent.Reject},
		"skip one behind the last one and end":     {after: "7", ids: []int{400}, want: "k", end: wasabievent.Reject},
		"skip one, known to skip":                  {numbering: learned(2, 3, 7, 9), ids: []int{2, 3, 8}, want: "ddd"},
		"skip one and end, known to skip":          {numbering: learned(1, 3, 7, 9), ids: []int{1, 9}, want: "dd"},
		"go back, known to skip":                   {numbering: learned(2, 3, 7, 9), ids: []int{2, 1}, want: "dr"},
		"skip one after others of one event":       {numbering: learned(20, 1), ids: []int{3, 5}, want: "kk"},
		"skip one after others of two events":      {numbering: learned(8, 1, 2), ids: []int{1, 400}, want: "dk", end: wasabievent.Reject},
		"skip one, known by few streams":           {numbering: learned(7, 1, 2, 3), ids: []int{3, 5}, want: "kk"},
		"skip one, known by many to be one by one": {numbering: learned(500, 1, 2, 3), ids: []int{1, 3}, want: "dk", end: wasabievent.Reject},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("are checked if they "+name, func() {
			c := cases[name]
			if c.numbering == nil {
				c.numbering = &wasabievent.Numbering{}
			}
			s := wasabievent.NewSequence(c.numbering, c.after)
			Expect(check(s, c.ids...)).To(Equal(c.want))
			if !strings.Contains(c.want, "r") {
				verdict, _ := s.End()
				Expect(verdict).To(Equal(c.end))
			}
		})
	}

	// Guards against an event before the first one that seems to be it, while nothing else is known.
	It("do not begin with zero if those of another server begin with one", func() {
		for _, other := range []string{"e1", "e2"} {
			n := &wasabievent.Numbering{}
			first := wasabievent.NewSequence(n, "")
			first.Server = "e1"
			Expect(check(first, 1, 2)).To(Equal("dd"))
			s := wasabievent.NewSequence(n, "")
			s.Server = other
			if other == "e1" {
				Expect(check(s, 0, 1, 2, 3, 4)).To(Equal("kkkkd"))
				continue
			}
			Expect(check(s, 0, 1, 2, 3, 4)).To(Equal("kkkkk"))
			verdict, _ := s.End()
			Expect(verdict).To(Equal(wasabievent.Reject))
		}
	})

	// Guards against a faulty server whose streams open the check for all others for good.
	It("are checked again after streams of garbage that seemed whole", func() {
		n := learned(9, 50, 51)
		Expect(check(wasabievent.NewSequence(n, ""), 1, 2, 700)).To(Equal("ddd"))
		for range 24 {
			s := wasabievent.NewSequence(n, "")
			Expect(check(s, 1, 2, 3)).To(Equal("ddd"))
			s.End()
		}
		s := wasabievent.NewSequence(n, "")
		Expect(check(s, 1, 2, 700)).To(Equal("ddk"))
		verdict, _ := s.End()
		Expect(verdict).To(Equal(wasabievent.Reject))
	})

	// Guards against sound streams that are broken for good where servers skip identifiers rarely.
	It("may skip others after two servers skipped the same ones at the same places", func() {
		n := learned(8, 1, 2, 3)
		next := func(request, server string, id int) string {
			s := wasabievent.NewSequence(n, "3")
			s.Request, s.Server = request, server
			verdicts := check(s, id)
			verdict, _ := s.End()
			return verdicts + string("dkr"[verdict])
		}
		Expect(next("q", "e1", 5)).To(Equal("kr"))
		Expect(next("q", "e1", 5)).To(Equal("kr"), "the same server again")
		Expect(next("p", "e2", 5)).To(Equal("kr"), "in another stream")
		Expect(next("q", "e2", 6)).To(Equal("kr"), "another identifier")
		Expect(next("q", "e2", 5)).To(Equal("kr"), "nothing is delivered on the word of two servers")
		Expect(next("s", "e1", 5)).To(Equal("kr"), "the next event decides again")
	})

	It("of many streams are remembered in bounded memory", func() {
		n := learned(8, 1, 2, 3)
		for i := range 1000 {
			s := wasabievent.NewSequence(n, "")
			s.Request, s.Server = fmt.Sprint(i), "e1"
			Expect(check(s, 1, 5)).To(Equal("dk"))
			verdict, _ := s.End()
			Expect(verdict).To(Equal(wasabievent.Reject))
			if i%100 == 0 {
				sound := wasabievent.NewSequence(n, "")
				Expect(check(sound, 1, 2, 3)).To(Equal("ddd"))
				sound.End()
			}
		}
	})
})

// BenchmarkSequence measures what the check adds to an event.
func BenchmarkSequence(b *testing.B) {
	events := make([][]byte, 100)
	for i := range events {
		events[i] = fmt.Appendf(nil, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 65))
	}
	n := &wasabievent.Numbering{}
	b.ReportAllocs()
	var s *wasabievent.Sequence
	for i := 0; b.Loop(); i++ {
		if i%len(events) == 0 {
			s = wasabievent.NewSequence(n, "")
		}
		if verdict, fault := s.Next(events[i%len(events)]); verdict != wasabievent.Deliver {
			b.Fatal(fault)
		}
	}
}
