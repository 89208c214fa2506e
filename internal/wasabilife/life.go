// Package wasabilife tells the lives of a backend server apart that starts again
// under its name, from what several sources say of it with different delays.
//
// # Order
//
// A life bears the time of its start. A later one is a new life. An earlier one is
// mostly news of a life that is over, which came late; but the server's clock may
// have been set back between the starts. So an earlier one counts as new when it is
// all that is said for longer than any source lags.
//
// # Usage
//
//	var life wasabilife.Life
//	switch life.Take(now, entry.Incarnation) {
//	case wasabilife.New:
//		forget()
//	case wasabilife.Over:
//		return
//	}
package wasabilife

import "github.com/wasabiridge/wasabiridge"

// Doubt is for how long only an earlier life must be named until it counts as new:
// servers check in every second or so, and instances hear of that within another.
const Doubt = 4 * wasabiridge.Second

// Verdict tells what something that was said is about.
type Verdict uint8

// Verdicts.
const (
	// Same is the life that is known, or one that does not say.
	Same Verdict = iota
	// New is a life that has begun since.
	New
	// Over is a life that has ended, as far as is known.
	Over
)

// Life is what is known of a server's life. The zero value knows none. It is not safe
// for concurrent use.
type Life struct {
	known wasabiridge.Incarnation
	// doubted is an earlier life that is named, since when nothing else was.
	doubted wasabiridge.Incarnation
	since   wasabiridge.Millis
}

// Known returns the present life. Zero means that none was named.
func (l *Life) Known() wasabiridge.Incarnation { return l.known }

// Take takes in which life something was said. The first life that is named is the
// one that all was said in before.
func (l *Life) Take(now wasabiridge.Millis, said wasabiridge.Incarnation) Verdict {
	switch {
	case said == 0:
		return Same
	case said == l.known || l.known == 0:
		l.known, l.doubted = said, 0
		return Same
	case said > l.known:
		l.known, l.doubted = said, 0
		return New
	case said != l.doubted:
		l.doubted, l.since = said, now
		return Over
	case now-l.since < Doubt:
		return Over
	}
	l.known, l.doubted = said, 0
	return New
}

// Due returns an earlier life that nothing has spoken against for long enough. It
// reports false when there is none.
func (l *Life) Due(now wasabiridge.Millis) (wasabiridge.Incarnation, bool) {
	return l.doubted, l.doubted != 0 && now-l.since >= Doubt
}
