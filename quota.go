package wasabiridge

// LimitUnit is what the limit of a client account counts.
type LimitUnit string

// Units of a limit.
const (
	// LimitRequests counts requests.
	LimitRequests LimitUnit = "requests"
	// LimitTokens counts the tokens of prompts and the most that answers may have.
	LimitTokens LimitUnit = "tokens"
)

// AccountLimit bounds what all instances together let run for a client account.
type AccountLimit struct {
	// Rate is how many units run in a second, Burst how many more at once. An account
	// without use earns Rate until it has Burst. A Rate of zero is no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst,omitempty"`
	// Unit defaults to LimitRequests.
	Unit LimitUnit `json:"unit,omitempty"`
	// PlainTokens is what a request without a prompt counts as where tokens are counted.
	PlainTokens int `json:"plain_tokens,omitempty"`
}

// Cost returns the units of a request.
func (l AccountLimit) Cost(r Request) float64 {
	if l.Unit != LimitTokens {
		return 1
	}
	if tokens := r.Chain.Tokens + r.MaxTokens; tokens > 0 {
		return float64(tokens)
	}
	return float64(l.PlainTokens)
}

// QuotaState is how a client account stands beside its limit. The zero value is an
// account without one.
type QuotaState struct {
	Unit LimitUnit
	// Limit is the most that runs at once, Remaining what is left of it, Reset when all of
	// it is there again if nothing runs.
	Limit, Remaining float64
	Reset            Millis
}

// QuotaVerdict tells whether the limit of its client account lets a request run.
type QuotaVerdict struct {
	Allowed bool
	State   QuotaState
	// RetryAfter is when the account is expected to have room for a refused request.
	RetryAfter Millis
}

// Quota keeps client accounts to their limits. Implementations are deterministic and not
// safe for concurrent use.
type Quota interface {
	// Judge is asked once for each request, before anything of it goes to a server.
	Judge(now Millis, r Request) QuotaVerdict
	// Sent charges an attempt that goes to a server. Further attempts of a request that
	// was let in are charged and never refused.
	Sent(now Millis, r Request, a AttemptID)
	// Observe takes every event that the decider takes.
	Observe(now Millis, e Event)
}

// UseNews is what the sender has let run for a client account.
type UseNews struct {
	Account ClientAccountID
	// Spent counts units since the start of the sender.
	Spent int64
	// Level is what the sender believes to be left of the account's burst, negative for
	// a debt. It says nothing unless LevelKnown is set.
	Level      int64
	LevelKnown bool
}

// UsesHeard carries what another instance has let run. Life is the sender's, Sequence
// rises with each of its messages.
type UsesHeard struct {
	From     InstanceID
	Life     Incarnation
	Sequence uint64
	// Part is the part of every limit that the sender and those that it hears own. Zero
	// means that it does not know.
	Part float64
	// Whole says that nothing of late is known of accounts that are not named.
	Whole bool
	Uses  []UseNews
	// Change numbers the set of owners that the sender counts, View stands for that set as
	// the sender knows all members of it. Zero means that it tells none.
	Change, View uint64
}

// UsesHeard returns what the news say of the limits of client accounts.
func (n News) UsesHeard() UsesHeard {
	return UsesHeard{
		From: n.From, Life: n.Life, Sequence: n.Sequence, Part: n.Part, Whole: n.Whole, Uses: n.Uses, Change: n.Change, View: n.View,
	}
}

// PeerHeard says that another instance has taken a message, or sent one.
type PeerHeard struct{ From InstanceID }

// PeerTold says that a message to another instance is under way.
type PeerTold struct{ To InstanceID }

// PeerEnded says that the process of another instance has ended: nothing listens at its
// address.
type PeerEnded struct{ ID InstanceID }

// ActiveKnown names the instances that callers are sent to, with this one if it is among
// them, and says how many instances there are.
type ActiveKnown struct {
	Instances []InstanceID
	Known     int
}

// OwnersKnown names the instances that owned a part of every limit before all of them
// started again.
type OwnersKnown struct{ Instances []InstanceID }

func (UsesHeard) isEvent()   {}
func (OwnersKnown) isEvent() {}
func (PeerHeard) isEvent()   {}
func (PeerTold) isEvent()    {}
func (PeerEnded) isEvent()   {}
func (ActiveKnown) isEvent() {}

// QuotaReader tells how client accounts stand beside their limits. Implementations are
// safe for concurrent use.
type QuotaReader interface {
	Quotas() QuotaReport
}

// QuotaReport is what one instance knows of the limits of client accounts.
type QuotaReport struct {
	Instance InstanceID `json:"instance"`
	// Part is the part of every limit that can be used here, below 1 while other
	// instances do not answer.
	Part     float64       `json:"part"`
	Accounts []QuotaStatus `json:"accounts"`
}

// QuotaStatus is what is known of one account's limit.
type QuotaStatus struct {
	Account ClientAccountID `json:"account"`
	Limit   AccountLimit    `json:"limit"`
	// Left is what is left of the burst, negative for a debt. Known says that it counts
	// all instances.
	Left  float64 `json:"left"`
	Known bool    `json:"known"`
	// Refused counts the requests that this instance refused.
	Refused uint64 `json:"refused"`
	// Used is what each instance has let run since its start.
	Used []QuotaUse `json:"used"`
}

// QuotaUse is what one instance has let run for an account.
type QuotaUse struct {
	Instance InstanceID `json:"instance"`
	Used     int64      `json:"used"`
	// Silent says that the instance does not answer.
	Silent bool `json:"silent,omitempty"`
}
