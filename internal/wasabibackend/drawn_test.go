package wasabibackend_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
)

// drawGarbage draws lines that are no event of the completion "a". Those that could begin another
// one are drawn only for streams that have begun.
func drawGarbage(t *rapid.T, begun bool) string {
	text := rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "text")
	number := rapid.IntRange(1, 1<<20).Draw(t, "number")
	forms := []string{
		string(rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "bytes")) + "\n",
		text + "\n\n",
		text + "\r\n" + text + "\r\n\r\n",
		"data: " + text + "\n\n",
		fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Length: %d\r\n\r\n", 200+number%400, number),
		chunkEvent(fmt.Sprintf(`{"x%d":%q}`, number, text)),
		chunkEvent(fmt.Sprintf(`{"id":"a","choices":[{"delta":{"content":%q},"token_ids":[-%d]}]}`, text, number)),
		chunkEvent(fmt.Sprintf(`{"id":"a","choices":[{"delta":%q}]}`, text)),
		chunkEvent(fmt.Sprintf(`{"id":"a","choices":%d}`, number)),
		"data: " + strings.Repeat("x", 1<<10+number%5000),
		usageEvent,
		doneEvent,
		"lower" + tokenEvents(number, number),
		strings.Repeat("ab", 1+number%9),
	}
	if begun {
		forms = append(forms, "\xef\xbb\xbf"+tokenEvents(number, number),
			chunkEvent(fmt.Sprintf(`{"id":"b%d","choices":[{"delta":{"content":%q},"token_ids":[%d]}]}`, number, text, number)))
	}
	return rapid.SampledFrom(forms).Draw(t, "garbage")
}

// Guards against garbage of a faulty engine that reaches a caller, or takes a part of an answer
// away that then counts as complete, in any form and at any place between two lines.
func TestGarbageReachesNoCaller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		length := rapid.IntRange(1, 12).Draw(t, "length")
		stream := tokenEvents(1, length) + usageEvent + doneEvent
		const linesOfEvent = 2
		lines := strings.SplitAfter(stream, "\n")
		place := rapid.IntRange(0, len(lines)-1).Draw(t, "place")
		garbage := drawGarbage(t, place >= linesOfEvent)
		stream = strings.Join(lines[:place], "") + garbage + strings.Join(lines[place:], "")
		s := &sink{}
		ended := wasabibackend.RelayEvents([]byte(stream), s)
		for i, id := range s.ids {
			g.Expect(id).To(BeEquivalentTo(i+1), stream)
		}
		g.Expect(s.text.String()).To(BeEmpty(), stream)
		g.Expect(s.chunks).To(Equal(len(s.ids)), "each payload has a token: %s", stream)
		g.Expect(ended.Delivered).To(Equal(len(s.ids)))
		if ended.Result == wasabiridge.AttemptCompleted {
			g.Expect(s.ids).To(HaveLen(length), stream)
		}
	})
}
