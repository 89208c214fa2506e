// Package wasabidocument decodes JSON with comments and reports the position of
// every mistake in it.
//
// Settings and configurations are written by people, so one run reports all
// mistakes, not only the first. After each mistake the decoder replaces or
// removes the faulty value and continues.
//
// # Usage
//
//	var settings Settings
//	if err := wasabidocument.Decode(text, &settings); err != nil {
//		fmt.Fprintln(os.Stderr, err)
//	}
//
// The error has the type wasabiridge.ErrInvalid and one line per mistake:
//
//	3:5: /caller/listn: unknown field
package wasabidocument

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/tailscale/hujson"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxBytes bounds a document, so that a wrong file cannot exhaust the
	// memory.
	maxBytes = 16 << 20
	// maxProblems bounds the mistakes that one run reports.
	maxProblems = 50
)

// Decode decodes JSON with comments into a pointer to a struct. Fields that the
// struct does not have are mistakes. Every error has the type
// wasabiridge.ErrInvalid.
func Decode(text []byte, into any) error {
	if len(text) > maxBytes {
		return wasabiridge.ErrInvalid.New("document: %d bytes exceed the limit of %d", len(text), maxBytes)
	}
	var (
		original hujson.Value
		err      error
	)
	if original, err = hujson.Parse(text); err != nil {
		return wasabiridge.ErrInvalid.New("document: %s", strings.TrimPrefix(err.Error(), "hujson: "))
	}
	d := decoder{text: text, original: original, current: original.Clone()}
	return d.decode(into)
}

type decoder struct {
	text     []byte
	original hujson.Value
	current  hujson.Value
	problems []string
}

// decode repeats the decoding, each time without the mistakes found so far.
func (d *decoder) decode(into any) error {
	for len(d.problems) < maxProblems {
		standard := d.current.Clone()
		standard.Standardize()
		err := json.Unmarshal(standard.Pack(), into, json.RejectUnknownMembers(true))
		if err == nil {
			break
		}
		if !d.dropFaulty(err) {
			break
		}
	}
	if len(d.problems) == 0 {
		return nil
	}
	return wasabiridge.ErrInvalid.New("document: %s", strings.Join(d.problems, "\n"))
}

// dropFaulty records a mistake and removes the faulty value from the document.
// It reports false when the value cannot be removed.
func (d *decoder) dropFaulty(err error) bool {
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		d.problems = append(d.problems, err.Error())
		return false
	}
	pointer := string(semantic.JSONPointer)
	d.problems = append(d.problems, fmt.Sprintf("%s: %s: %s", d.position(pointer), pointer, describe(semantic)))
	patch := fmt.Sprintf(`[{"op":"replace","path":%q,"value":null}]`, pointer)
	if errors.Is(err, json.ErrUnknownName) {
		patch = fmt.Sprintf(`[{"op":"remove","path":%q}]`, pointer)
	}
	return pointer != "" && d.current.Patch([]byte(patch)) == nil
}

func describe(e *json.SemanticError) string {
	if errors.Is(e, json.ErrUnknownName) {
		return "unknown field"
	}
	if e.GoType != nil && e.JSONKind != 0 {
		return fmt.Sprintf("a %s does not fit here, want %s", e.JSONKind, e.GoType.Kind())
	}
	return e.Error()
}

// position returns line and column of a value in the original text.
func (d *decoder) position(pointer string) string {
	offset := 0
	if v := d.original.Find(pointer); v != nil {
		offset = v.StartOffset
	}
	before := d.text[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%d:%d", line, column)
}
