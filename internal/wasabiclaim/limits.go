package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// Limits bound the memory and the table calls of claims. A zero field takes its
// default.
type Limits struct {
	// TicketLifetime is how long a ticket can be used, 15 min by default.
	// Its outcome is remembered for as long.
	TicketLifetime wasabiridge.Millis
	// MaxTickets bounds the used tickets that are remembered, 50,000 by
	// default. A claim with a further ticket is refused as not run.
	MaxTickets int
	// RunLimit is how long a claim counts as still running, 10 min by
	// default. After it repeats are answered that the outcome is unknown. It
	// never lets a second request run.
	RunLimit wasabiridge.Millis
	// MaxCachedAnswers and MaxCachedBytes bound the answers cached in memory for
	// repeats, once for tickets and once for rows; 4,096 and 8 MiB by
	// default.
	MaxCachedAnswers int
	MaxCachedBytes   int
	// RowAnswerBytes is the largest answer that is stored in a row, 16 KiB by
	// default.
	RowAnswerBytes int
	// Retention is how long a row is kept after it was claimed, one day by
	// default.
	Retention wasabiridge.Millis
	// WritesPerSecond bounds the transactions a second that all instances
	// together send for claims, 250 by default. Each instance takes an equal
	// share.
	WritesPerSecond int
	// BatchRows is the largest number of rows in one transaction, 128 by
	// default.
	BatchRows int
	// FinishDelay is how long the end of a request may wait to be batched
	// with other rows, 1 s by default.
	FinishDelay wasabiridge.Millis
	// MaxUnsettled bounds the ends and releases that wait to be written to the
	// table, 8,192 by default. Beyond it the oldest is dropped and counted;
	// repeats of its request are later answered that the outcome is unknown.
	MaxUnsettled int
	// RetryInterval is the pause before the row of an end or a release is
	// read again after the table could not be reached, 1 s by default.
	RetryInterval wasabiridge.Millis
}

func (l Limits) withDefaults() Limits {
	setMillis(&l.TicketLifetime, 15*wasabiridge.Minute)
	setInt(&l.MaxTickets, 50_000)
	setMillis(&l.RunLimit, 10*wasabiridge.Minute)
	setInt(&l.MaxCachedAnswers, 4096)
	setInt(&l.MaxCachedBytes, 8<<20)
	setInt(&l.RowAnswerBytes, 16<<10)
	setMillis(&l.Retention, wasabiridge.Day)
	setInt(&l.WritesPerSecond, 250)
	setInt(&l.BatchRows, 128)
	setMillis(&l.FinishDelay, wasabiridge.Second)
	setInt(&l.MaxUnsettled, 8192)
	setMillis(&l.RetryInterval, wasabiridge.Second)
	return l
}

func setMillis(v *wasabiridge.Millis, def wasabiridge.Millis) {
	if *v == 0 {
		*v = def
	}
}

func setInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}
