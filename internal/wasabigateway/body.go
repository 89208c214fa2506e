package wasabigateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
)

// Paths of the OpenAI-compatible API whose request bodies the router parses.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// bodyMemoryFactor is how much memory a byte of a body takes: it is held twice while its
// prompt is extracted.
const bodyMemoryFactor = 2

// body is a request body together with the fields that the router parses from
// it. It is immutable once parsed, except that prompt is released early.
type body struct {
	raw   []byte
	model wasabiridge.ModelID
	// modelStart and modelEnd delimit the JSON value of the field "model" in
	// raw.
	modelStart, modelEnd int
	// prompt is the text whose prefixes engines cache. It is released once its
	// block hashes are computed.
	prompt    []byte
	maxTokens int
	stream    bool
}

// isCompletion reports whether r is a completion request, whose body the router
// parses.
func isCompletion(r *http.Request) bool {
	return r.Method == http.MethodPost && (r.URL.Path == pathChat || r.URL.Path == pathCompletions)
}

// readBody reads the whole body within the configured time limit.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// Test response writers do not support deadlines, so the error is ignored.
	_ = control.SetReadDeadline(time.Now().Add(g.options.Limits.BodyTimeout.Duration()))
	held := callOf(r).held
	raw, err := held.ReadAll(r.Body, r.ContentLength, bodyMemoryFactor)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return raw, nil
	}
	f := failBodyBroken
	if errors.Is(err, wasabiheld.ErrNoRoom) {
		held.Refused()
		f = failNoRoom
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		f = failBodyTooLarge
	}
	return nil, &f
}

// parseCompletion parses the fields of a completion request that the router
// needs. It returns ErrInvalid when the body does not conform to the API. A
// duplicate field name is an error: the rules could match one value while the
// engine uses the other.
func parseCompletion(raw []byte) (body, error) {
	b := body{raw: raw}
	d := jsontext.NewDecoder(bytes.NewBuffer(raw))
	if d.PeekKind() != '{' {
		return b, wasabiridge.ErrInvalid.New("body: must be a JSON object")
	}
	if _, err := d.ReadToken(); err != nil {
		return b, wasabiridge.ErrInvalid.New("body: must be JSON")
	}
	for d.PeekKind() != '}' {
		if err := b.readMember(d); err != nil {
			return b, err
		}
	}
	if _, err := d.ReadToken(); err != nil {
		return b, wasabiridge.ErrInvalid.New("body: must be JSON")
	}
	if _, err := d.ReadToken(); !errors.Is(err, io.EOF) {
		return b, wasabiridge.ErrInvalid.New("body: has text after the JSON object")
	}
	if b.model == "" {
		return b, wasabiridge.ErrInvalid.New("body: model must be set")
	}
	return b, nil
}

func (b *body) readMember(d *jsontext.Decoder) error {
	var name jsontext.Token
	var err error
	if name, err = d.ReadToken(); err != nil {
		return wasabiridge.ErrInvalid.New("body: must be JSON without repeated names")
	}
	field := name.String()
	var value jsontext.Value
	if value, err = d.ReadValue(); err != nil {
		return wasabiridge.ErrInvalid.New("body: must be JSON without repeated names")
	}
	if field == "model" {
		b.modelEnd = int(d.InputOffset())
		b.modelStart = b.modelEnd - len(value)
	}
	if err = b.set(field, value); err != nil {
		return wasabiridge.ErrInvalid.New("body: %s is not of the right kind", field)
	}
	return nil
}

func (b *body) set(field string, value jsontext.Value) error {
	switch field {
	case "model":
		return json.Unmarshal(value, &b.model)
	case "stream":
		return json.Unmarshal(value, &b.stream)
	case "max_tokens", "max_completion_tokens":
		return json.Unmarshal(value, &b.maxTokens)
	case "prompt":
		b.prompt = appendText(b.prompt, value)
	case "messages":
		return b.setMessages(value)
	}
	return nil
}

// message is one chat message.
type message struct {
	Content jsontext.Value `json:"content"`
}

// setMessages concatenates the contents of the messages in order, so that chats
// that begin with the same messages share a prompt prefix.
func (b *body) setMessages(value jsontext.Value) error {
	var messages []message
	if err := json.Unmarshal(value, &messages); err != nil {
		return err
	}
	for _, m := range messages {
		b.prompt = appendText(b.prompt, m.Content)
		b.prompt = append(b.prompt, '\n')
	}
	return nil
}

// appendText appends the text of a JSON string. Any other JSON value, such as a
// list of content parts, is appended in its raw encoding.
func appendText(to []byte, value jsontext.Value) []byte {
	if value.Kind() != '"' {
		return append(to, value...)
	}
	text, err := jsontext.AppendUnquote(to, value)
	if err != nil {
		return append(to, value...)
	}
	return text
}

// withModel returns the raw body with the value of "model" replaced.
func (b body) withModel(model wasabiridge.ModelID) []byte {
	if model == "" || model == b.model || b.modelEnd == 0 {
		return b.raw
	}
	name, err := jsontext.AppendQuote(nil, string(model))
	if err != nil {
		return b.raw
	}
	out := make([]byte, 0, len(b.raw)+len(name))
	out = append(out, b.raw[:b.modelStart]...)
	out = append(out, name...)
	return append(out, b.raw[b.modelEnd:]...)
}

// mediaType returns the media type in the Content-Type header, in lower case
// and without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}
