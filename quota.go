package wasabiridge

// LimitUnit is the unit in which the limit of a client account is counted.
type LimitUnit string

// Units of a limit.
const (
	// LimitRequests counts requests.
	LimitRequests LimitUnit = "requests"
	// LimitTokens counts the tokens of prompts plus the maximum output tokens of
	// responses.
	LimitTokens LimitUnit = "tokens"
)

// AccountLimit is the rate limit of a client account across all instances. It works as
// a token bucket.
type AccountLimit struct {
	// Rate is the number of units per second, Burst the number of units that may be
	// used at once beyond it. An idle account accumulates Rate units per second until
	// it has Burst. A Rate of zero means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst,omitempty"`
	// Unit defaults to LimitRequests.
	Unit LimitUnit `json:"unit,omitempty"`
	// PlainTokens is the cost of a request without a prompt when tokens are counted.
	PlainTokens int `json:"plain_tokens,omitempty"`
}

// Cost returns the number of units that a request costs.
func (l AccountLimit) Cost(r Request) float64 {
	if l.Unit != LimitTokens {
		return 1
	}
	if tokens := r.Chain.Tokens + r.MaxTokens; tokens > 0 {
		return float64(tokens)
	}
	return float64(l.PlainTokens)
}

// QuotaState is the state of the limit of a client account. The zero value is that of
// an account without a limit.
type QuotaState struct {
	Unit LimitUnit
	// Limit is the most units that may be used at once, Remaining how many of them are
	// left, and Reset when all of them are available again if nothing is used until
	// then.
	Limit, Remaining float64
	Reset            Millis
}

// QuotaVerdict is the decision whether the limit of its client account admits a
// request.
type QuotaVerdict struct {
	Allowed bool
	State   QuotaState
	// RetryAfter is the estimated wait until the account has units left for a refused
	// request.
	RetryAfter Millis
}

// Quota enforces the limits of client accounts. Implementations are deterministic and
// not safe for concurrent use.
type Quota interface {
	// Check is called once for each request, before it is sent to a server.
	Check(now Millis, r Request) QuotaVerdict
	// Sent charges an attempt that is being sent to a server. Further attempts of an
	// admitted request are charged and never refused.
	Sent(now Millis, r Request, a AttemptID)
	// Observe receives every event that the decider receives.
	Observe(now Millis, e Event)
}

// UsageUpdate is the usage that the sender has admitted for a client account.
type UsageUpdate struct {
	Account ClientAccountID
	// Spent counts the units admitted since the start of the sender.
	Spent int64
	// Level is the sender's estimate of what is left of the account's burst, negative
	// for a debt. It is valid only when LevelKnown is set.
	Level      int64
	LevelKnown bool
}

// UsageReceived carries the usage that another instance has admitted. Incarnation is
// the sender's incarnation. Sequence increases with each of its messages.
type UsageReceived struct {
	From        InstanceID
	Incarnation Incarnation
	Sequence    uint64
	// Share is the share of every limit that is owned by the sender and the instances
	// that it receives updates from. Zero means that the sender does not know it.
	Share float64
	// Complete reports that the sender knows of no recent usage by accounts that are not
	// listed.
	Complete bool
	Usage    []UsageUpdate
	// OwnersEpoch is the number of the set of owners that the sender counts with.
	// OwnersDigest identifies that set as the sender knows all of its members. Zero
	// means that the sender announces none.
	OwnersEpoch, OwnersDigest uint64
}

// UsageReceived returns the part of the update that concerns the limits of client
// accounts.
func (n StateUpdate) UsageReceived() UsageReceived {
	return UsageReceived{
		From: n.From, Incarnation: n.Incarnation, Sequence: n.Sequence, Share: n.Share, Complete: n.Complete, Usage: n.Usage, OwnersEpoch: n.OwnersEpoch, OwnersDigest: n.OwnersDigest,
	}
}

// PeerReachable reports that another instance received a message from this one, or sent
// one to it.
type PeerReachable struct{ From InstanceID }

// PeerUpdateSent reports that a message to another instance is in flight.
type PeerUpdateSent struct{ To InstanceID }

// PeerEnded reports that the process of another instance has ended: nothing listens at
// its address.
type PeerEnded struct{ ID InstanceID }

// ActiveKnown lists the instances that callers are directed to, including this one if
// it is among them. Known is the number of all instances.
type ActiveKnown struct {
	Instances []InstanceID
	Known     int
}

// OwnersKnown lists the instances that owned a share of every limit before all
// instances restarted.
type OwnersKnown struct{ Instances []InstanceID }

func (UsageReceived) isEvent()  {}
func (OwnersKnown) isEvent()    {}
func (PeerReachable) isEvent()  {}
func (PeerUpdateSent) isEvent() {}
func (PeerEnded) isEvent()      {}
func (ActiveKnown) isEvent()    {}

// QuotaReader reports the state of the limits of client accounts. Implementations are
// safe for concurrent use.
type QuotaReader interface {
	Quotas() QuotaReport
}

// QuotaReport is what one instance knows of the limits of client accounts.
type QuotaReport struct {
	Instance InstanceID `json:"instance"`
	// Share is the share of every limit that can be used at this instance and those that
	// it exchanges updates with. It is below 1 while other instances do not respond.
	Share    float64       `json:"part"`
	Accounts []QuotaStatus `json:"accounts"`
}

// QuotaStatus is the state of one account's limit.
type QuotaStatus struct {
	Account ClientAccountID `json:"account"`
	Limit   AccountLimit    `json:"limit"`
	// Left is what is left of the burst, negative for a debt. Known reports that it
	// includes the usage at all instances.
	Left  float64 `json:"left"`
	Known bool    `json:"known"`
	// Refused counts the requests that this instance refused.
	Refused uint64 `json:"refused"`
	// Used is the usage that each instance has admitted since its start.
	Used []QuotaUse `json:"used"`
}

// QuotaUse is the usage that one instance has admitted for an account.
type QuotaUse struct {
	Instance InstanceID `json:"instance"`
	Used     int64      `json:"used"`
	// Unresponsive reports that the instance does not respond.
	Unresponsive bool `json:"silent,omitempty"`
}
