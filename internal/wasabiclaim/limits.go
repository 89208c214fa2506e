package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// Limits bound what claims cost. A zero field takes its default.
type Limits struct {
	// TicketLifetime is how long a ticket can be used, 15 min by default.
	// The outcome of a ticket is known for as long.
	TicketLifetime wasabiridge.Millis
	// Tickets is how many used tickets are remembered at most, 50,000 by
	// default. A claim beyond is refused as not run.
	Tickets int
	// RunLimit is how long a claim counts as still running before repeats
	// are told that its outcome is unknown, 10 min by default. It changes
	// what repeats are told; it never lets a second request run.
	RunLimit wasabiridge.Millis
	// KeptAnswers and KeptBytes bound the answers kept in memory for
	// repeats, once for tickets and once for rows; 4,096 and 8 MiB by
	// default.
	KeptAnswers int
	KeptBytes   int
	// RowAnswerBytes is the largest answer that a row keeps, 16 KiB by
	// default.
	RowAnswerBytes int
	// Retention is how long a row outlives its claim, one day by default.
	Retention wasabiridge.Millis
	// WritesPerSecond is how many transactions all instances together may
	// send for claims, 250 by
	// default. Each instance takes an equal part.
	WritesPerSecond int
	// BatchRows is the largest number of rows in one transaction, 128 by
	// default.
	BatchRows int
	// FinishDelay is how long the end of a request may wait for company in
	// a transaction, 1 s by default.
	FinishDelay wasabiridge.Millis
	// Unsettled is how many ends and releases may wait for the table, 8,192
	// by default. Beyond it the oldest is dropped and counted; repeats of
	// its request are told later that the outcome is unknown.
	Unsettled int
	// RetryInterval is the pause before the table is asked again about an
	// end or a release, 1 s by default.
	RetryInterval wasabiridge.Millis
}

func (l Limits) withDefaults() Limits {
	setMillis(&l.TicketLifetime, 15*wasabiridge.Minute)
	setInt(&l.Tickets, 50_000)
	setMillis(&l.RunLimit, 10*wasabiridge.Minute)
	setInt(&l.KeptAnswers, 4096)
	setInt(&l.KeptBytes, 8<<20)
	setInt(&l.RowAnswerBytes, 16<<10)
	setMillis(&l.Retention, wasabiridge.Day)
	setInt(&l.WritesPerSecond, 250)
	setInt(&l.BatchRows, 128)
	setMillis(&l.FinishDelay, wasabiridge.Second)
	setInt(&l.Unsettled, 8192)
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
