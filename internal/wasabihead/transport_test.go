package wasabihead_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclient"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
	"github.com/wasabiridge/wasabiridge/internal/wasabiinstances"
	"github.com/wasabiridge/wasabiridge/internal/wasabiobject"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// readers are the clients of other services, with a body that each takes for an answer.
var readers = map[string]struct {
	body string
	call func(t *testing.T, url string) error
}{
	"an order to an engine": {body: `{"weights":3}`, call: func(t *testing.T, url string) error {
		return wasabiorder.NewClient(nil).SendOrder(t.Context(), wasabiridge.BackendServer{ID: "e", URL: url}, wasabiridge.EngineOrder{Model: "m", Weights: 2, Fencing: 1})
	}},
	"the state of an engine": {body: `{"weights":3}`, call: func(t *testing.T, url string) error {
		_, err := wasabiorder.NewClient(nil).ReadState(t.Context(), wasabiridge.BackendServer{ID: "e", URL: url})
		return err
	}},
	"the list of instances": {body: `[]`, call: func(t *testing.T, url string) error {
		_, err := wasabiinstances.NewClient(wasabiinstances.ClientOptions{URL: url}).Instances(t.Context())
		return err
	}},
	"a row": {body: `{}`, call: func(t *testing.T, url string) error {
		_, err := wasabitable.NewClient(wasabitable.ClientOptions{URL: url, Table: "t", Region: "r", AccessKey: "a", SecretKey: "s", Clock: wasabiclock.System()}).Get(t.Context(), "k")
		return err
	}},
	"an object": {body: `ok`, call: func(t *testing.T, url string) error {
		_, err := wasabiobject.NewClient(wasabiobject.ClientOptions{URL: url, Bucket: "b", Region: "r", AccessKey: "a", SecretKey: "s"}).Get(t.Context(), "o")
		return err
	}},
	"a command of an operator": {body: `{}`, call: func(t *testing.T, url string) error {
		_, err := wasabiclient.New(wasabiclient.Options{Addresses: []string{url}, Key: "k"}).Status(t.Context())
		return err
	}},
}

// Guards against a client that takes a response for an answer whose head is none of HTTP.
func TestReaders(t *testing.T) {
	for _, reader := range wasabitest.SortedKeys(readers) {
		c := readers[reader]
		url, stop := wasabitest.ServeHead("HTTP/1.1 200 OK\r\n", "", c.body)
		NewWithT(t).Expect(c.call(t, url)).To(Succeed(), reader)
		stop()
		for _, name := range wasabitest.SortedKeys(wasabitest.MalformedHeads) {
			t.Run(reader+": "+name, func(t *testing.T) {
				url, stop := wasabitest.ServeHead(wasabitest.MalformedHeads[name], "", c.body)
				defer stop()
				NewWithT(t).Expect(c.call(t, url)).NotTo(Succeed())
			})
		}
	}
}

// get sends a request over a checked transport and reads the response.
func get(t *testing.T, head, fields, body string) (string, error) {
	url, stop := wasabitest.ServeHead(head, fields, body)
	defer stop()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	var response *http.Response
	if response, err = wasabihead.Transport(&http.Transport{DisableKeepAlives: true}).RoundTrip(request); err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// Guards against responses and trailers that a transport of net/http lets through.
func TestTransport(t *testing.T) {
	for _, name := range wasabitest.SortedKeys(wasabitest.MalformedHeads) {
		_, err := get(t, wasabitest.MalformedHeads[name], "", "ok")
		NewWithT(t).Expect(errorx.IsOfType(err, wasabihead.ErrMalformed)).To(BeTrue(), "%s: %v", name, err)
	}
	const chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for trailer, sound := range map[string]bool{"": true, "A: b\r\n": true, "A : b\r\n": false, "A B: c\r\n": false} {
		g := NewWithT(t)
		data, err := get(t, "HTTP/1.1 200 OK\r\n", chunked+trailer+"\r\n", "")
		g.Expect(data).To(Equal("ok"))
		g.Expect(err == nil).To(Equal(sound), "%q: %v", trailer, err)
	}
}

// Guards against sound responses that a checked transport refuses.
func TestSoundResponses(t *testing.T) {
	for _, line := range []string{"200 OK", "204 No Content", "404 Not Found", "599 Odd", "200"} {
		_, err := get(t, "HTTP/1.1 "+line+"\r\n", "X-Y.z_1: a\tb \xe9\r\n", strings.Repeat("a", 10))
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), line)
	}
}
