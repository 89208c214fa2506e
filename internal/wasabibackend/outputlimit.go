package wasabibackend

import "github.com/tidwall/gjson"

// outputLimit is how many output tokens a completion request allows. The zero value is that of a
// request without fields.
type outputLimit struct {
	// tokens is the larger one of the two fields that limit the tokens of a choice, because
	// engines differ in which one they keep to. Zero means that there is no limit.
	tokens int
	// choices is the number of choices, or zero for one.
	choices int
	// echo is set if the prompt is a part of the answer.
	echo bool
}

// read reads a field of the request.
func (l *outputLimit) read(name string, value gjson.Result) {
	switch name {
	case "max_tokens", "max_completion_tokens":
		l.tokens = max(l.tokens, count(value))
	case "n":
		l.choices = count(value)
	case "echo":
		l.echo = value.Type == gjson.True
	}
}

// allows reports whether an answer may have a number of tokens.
func (l *outputLimit) allows(tokens int) bool {
	return l.tokens == 0 || l.echo || tokens <= l.tokens*max(1, l.choices)
}
