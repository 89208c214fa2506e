package wasabiengine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

// defaultMaxTokens is the length of an answer if the request sets no maximum.
const defaultMaxTokens = 16

// message is one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// completionRequest is the request body of both completion endpoints.
type completionRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Prompt              string    `json:"prompt"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	ReturnTokenIDs bool   `json:"return_token_ids"`
	Priority       int    `json:"priority"`
	CacheSalt      string `json:"cache_salt"`
	// ResumeFrom is the number of leading output tokens to leave out of the
	// answer.
	ResumeFrom int `json:"resume_from"`
	// BlockHashes are hashes of the prompt's blocks, in hexadecimal, which cache
	// events use for these blocks.
	BlockHashes []string `json:"block_hashes"`
}

// chain returns the cache blocks of the prompt. The salt is part of their hashes,
// so that requests with different salts never share a block.
func (r completionRequest) chain(blockTokens int) wasabiridge.Chain {
	root := wasabiridge.CacheRoot{Adapter: wasabiridge.AdapterID(r.CacheSalt)}
	return wasabiprefix.NewChain(root, []byte(r.text()), blockTokens)
}

// blockNames returns the hashes that the caller sent for the blocks of the chain,
// for cache events. It returns nil if their number is not that of the blocks or
// one is malformed.
func (r completionRequest) blockNames(c wasabiridge.Chain) []wasabiridge.BlockHash {
	if len(r.BlockHashes) != len(c.Blocks) {
		return nil
	}
	out := make([]wasabiridge.BlockHash, len(c.Blocks))
	for i, text := range r.BlockHashes {
		named, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return nil
		}
		out[i] = wasabiridge.BlockHash(named)
	}
	return out
}

// text returns the prompt, or the contents of all messages, each followed by a
// newline.
func (r completionRequest) text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		var s string
		if err := json.Unmarshal(m.Content, &s); err != nil {
			s = string(m.Content)
		}
		b.WriteString(s)
		b.WriteByte('\n')
	}
	return b.String()
}

// outputTokens returns the length of the answer in tokens.
func (r completionRequest) outputTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultMaxTokens
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is the only choice of an answer, or of one event of a stream.
type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	TokenIDs     []int   `json:"token_ids,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

// completion is a complete answer or one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

var vocabulary = [...]string{
	" check", " the", " seat", " rail", " sensor", " then", " reset", " code",
	" and", " test", " footrest", " swivel", " lock", " before", " next", " run",
}

// token is one generated output token. IDs are distinct at all positions, so that
// duplicated and missing tokens are always detected.
type token struct {
	id   int
	text string
}

// tokenGenerator generates the tokens of the answer to one prompt.
type tokenGenerator struct{ seed uint64 }

func newTokenGenerator(prompt string, w wasabiridge.WeightsVersion) tokenGenerator {
	return tokenGenerator{seed: xxhash.Sum64String(prompt) + uint64(w)*0x9e3779b97f4a7c15}
}

func (g tokenGenerator) token(i int) token {
	x := g.seed + uint64(i)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	word := int((x >> 33) % uint64(len(vocabulary)))
	return token{id: i*len(vocabulary) + word, text: vocabulary[word]}
}
