package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, started: time.Now()}
}

// note writes a line with the time since the start in seconds.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.note(format, args...)
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func check(err error) {
	if err != nil {
		fatal("%v", err)
	}
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(notRun)
}
