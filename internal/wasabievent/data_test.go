package wasabievent_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabievent"
)

var _ = Describe("The data of an event", func() {
	cases := map[string]struct {
		event, data string
		fault       wasabievent.Fault
	}{
		"one line":               {event: "data: a\n\n", data: "a"},
		"without a space":        {event: "data:a\r\n\r\n", data: "a"},
		"with two spaces":        {event: "data:  a\r\r", data: " a"},
		"several lines":          {event: ": b\ndata: a\nid: 7\ndata:\ndata: c\n\n", data: "a\n\nc"},
		"none":                   {event: "event: ping\nid\nretry: 1\n\n"},
		"empty":                  {event: "data\n\n"},
		"with unknown fields":    {event: "x-trace: 1\ndata: a\n\n", data: "a"},
		"a line of text":         {event: "data: a\ngarbage\n\n", fault: wasabievent.FaultField},
		"text before the field":  {event: "abdata: a\n\n", fault: wasabievent.FaultNoData},
		"a header":               {event: "Retry-After: 1\ndata: a\n\n", fault: wasabievent.FaultField},
		"a byte order mark":      {event: "\xef\xbb\xbfdata: a\n\n", fault: wasabievent.FaultField},
		"a field of other bytes": {event: "\x00: 1\n\n", fault: wasabievent.FaultField},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is read: "+name, func() {
			c := cases[name]
			event := []byte(c.event)
			data, fault := wasabievent.Data(event)
			Expect(string(data)).To(Equal(c.data))
			Expect(fault).To(Equal(c.fault))
			Expect(string(event)).To(Equal(c.event), "the event is not changed")
		})
	}
})
