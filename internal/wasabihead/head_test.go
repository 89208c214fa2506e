package wasabihead_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// check checks a head in parts of a size.
func check(head string, size int) error {
	var c wasabihead.Checker
	for len(head) > 0 {
		n := min(size, len(head))
		if err := c.Add([]byte(head[:n])); err != nil {
			return err
		}
		head = head[n:]
	}
	return nil
}

// sound are heads of HTTP/1.1 responses, with what may follow them.
var sound = map[string]string{
	"with fields":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX_y.z!#$%&'*+-^`|~: a\r\n\r\nok",
	"of version 1.0":         "HTTP/1.0 404 Not Found\r\n\r\n",
	"without a reason":       "HTTP/1.1 204 \r\n\r\n",
	"without a second blank": "HTTP/1.1 204\r\n\r\n",
	"with a long reason":     "HTTP/1.1 200 All is\twell \xe9\r\n\r\n",
	"interim":                "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"with lines that end LF": "HTTP/1.1 200 OK\nA: b\n\n\x00",
	"with empty values":      "HTTP/1.1 200 OK\r\nA:\r\nB: \t \r\n\r\n",
	"with other bytes":       "HTTP/1.1 200 OK\r\nA: \"b: c\"\t\xe9 \r\n\r\n\x00\r\r\r",
}

// Guards against sound responses that are refused for their form.
func TestSoundHeads(t *testing.T) {
	for _, name := range wasabitest.SortedKeys(sound) {
		for size := 1; size <= len(sound[name]); size++ {
			NewWithT(t).Expect(check(sound[name], size)).To(Succeed(), "%s, in parts of %d", name, size)
		}
	}
}

// Guards against statuses that no server of net/http can write, or that no protocol names.
func TestStatuses(t *testing.T) {
	for status := range 1000 {
		g := NewWithT(t)
		err := check(fmt.Sprintf("HTTP/1.1 %03d X\r\n\r\n", status), 1+status%7)
		if status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols {
			g.Expect(err).NotTo(HaveOccurred(), "%d", status)
			continue
		}
		g.Expect(errorx.IsOfType(err, wasabihead.ErrMalformed)).To(BeTrue(), "%d", status)
		g.Expect(err.Error()).To(ContainSubstring("line 1, byte 12"))
	}
}

// Guards against names and values of fields that some readers take for others.
func TestFields(t *testing.T) {
	for b := range 256 {
		g := NewWithT(t)
		token := strings.ContainsRune("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ", rune(b)) && b < 128
		text := string([]byte{byte(b)})
		for place, form := range map[string]string{"first": "%sX: 1", "middle": "X%sY: 1", "last": "X%s: 1"} {
			for _, lines := range []string{"HTTP/1.1 200 OK\r\n%s\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n%s\r\nC: d\r\n\r\n"} {
				head := fmt.Sprintf(lines, fmt.Sprintf(form, text))
				// A line feed at the start of a line ends the head.
				if err := check(head, 1+b%5); token || b == ':' && place != "first" || b == '\n' && place == "first" {
					g.Expect(err).NotTo(HaveOccurred(), "%q", head)
				} else {
					g.Expect(errorx.IsOfType(err, wasabihead.ErrMalformed)).To(BeTrue(), "%q", head)
				}
			}
		}
		err := check("HTTP/1.1 200 OK\r\nX: a"+text+"b\r\n\r\n", 1+b%5)
		failed := wasabihead.CheckFields(http.Header{"X": {"a" + text + "b"}})
		if control := b < ' ' && b != '\t' || b == 0x7f; control {
			g.Expect(failed).To(HaveOccurred(), "%q", text)
			// A line feed begins another line, which has no colon.
			g.Expect(errorx.IsOfType(err, wasabihead.ErrMalformed)).To(BeTrue(), "%q", text)
		} else {
			g.Expect(err).NotTo(HaveOccurred(), "%q", text)
			g.Expect(failed).NotTo(HaveOccurred(), "%q", text)
		}
		g.Expect(wasabihead.CheckFields(http.Header{"X" + text: {"a"}}) == nil).To(Equal(token), "%q", text)
	}
}

// Guards against a head that passes the check and that the parser reads as another one.
func FuzzChecker(f *testing.F) {
	for _, text := range sound {
		f.Add(text)
	}
	f.Add("HTTP/1.1 000 OK\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nA b: c\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil || check(text, 3) != nil {
			return
		}
		defer response.Body.Close()
		if line := response.Proto + " " + response.Status; !strings.HasPrefix(text, strings.TrimRight(line, " \t")) || response.StatusCode < 100 || response.StatusCode > 599 {
			t.Errorf("%q passes and is read as %q", text, line)
		}
		if err = wasabihead.CheckFields(response.Header); err != nil {
			t.Errorf("%q passes and is read with: %v", text, err)
		}
	})
}
