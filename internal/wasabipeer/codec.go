package wasabipeer

import (
	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// Bounds of a heartbeat. Senders stay far below them.
const (
	maxOthers   = 256
	maxBackends = 256
	maxNameLen  = 256
	// maxCapacity bounds the capacity of an instance, which is encoded in
	// thousandths.
	maxCapacity = 1e6
	milli       = 1000
)

func encodeMember(m wasabiridge.Member) *pb.Member {
	return &pb.Member{
		Id:          string(m.ID),
		Incarnation: uint64(m.Incarnation),
		Sequence:    m.Sequence,
		Config:      uint64(m.Config),
		Leaving:     m.Leaving,
		Suspect:     m.Suspect,
		Dead:        m.Dead,
		Detached:    m.Detached,
		Strained:    m.Strained,
		Vouched:     m.ConfirmedAlive,
		AgeMs:       uint64(max(m.Age, 0)),
		PeerAddress: m.PeerAddress,
		CallerUrl:   m.CallerURL,
		Zone:        string(m.Zone),
		Region:      string(m.Region),

		CapacityMilli: uint32(min(max(m.Capacity, 0), maxCapacity) * milli),
	}
}

func decodeMember(m *pb.Member) (wasabiridge.Member, error) {
	var out wasabiridge.Member
	if m.GetId() == "" {
		return out, wasabiridge.ErrInvalid.New("peer: heartbeat contains a member without an ID")
	}
	for _, s := range []string{m.Id, m.PeerAddress, m.CallerUrl, m.Zone, m.Region} {
		if len(s) > maxNameLen {
			return out, wasabiridge.ErrInvalid.New("peer: heartbeat contains a member with a field of %d bytes", len(s))
		}
	}
	if m.AgeMs > uint64(wasabiridge.Day) {
		m.AgeMs = uint64(wasabiridge.Day)
	}
	out.ID = wasabiridge.InstanceID(m.Id)
	out.PeerAddress = m.PeerAddress
	out.CallerURL = m.CallerUrl
	out.Zone = wasabiridge.AvailabilityZone(m.Zone)
	out.Region = wasabiridge.Region(m.Region)
	out.Leaving = m.Leaving
	out.Incarnation = wasabiridge.Incarnation(m.Incarnation)
	out.Sequence = m.Sequence
	out.Config = wasabiridge.ConfigVersion(m.Config)
	out.Suspect = m.Suspect
	out.Dead = m.Dead
	out.Detached = m.Detached
	out.Strained = m.Strained
	out.ConfirmedAlive = m.Vouched
	out.Age = wasabiridge.Millis(m.AgeMs)
	out.Capacity = float64(m.CapacityMilli) / milli
	return out, nil
}

// EncodeHeartbeat converts a heartbeat to its protobuf message.
func EncodeHeartbeat(h wasabiridge.Heartbeat) *pb.Heartbeat {
	out := &pb.Heartbeat{
		From:     encodeMember(h.From),
		SentAtMs: int64(h.SentAt),
		Digest:   h.Digest,
	}
	for _, m := range h.Others {
		out.Others = append(out.Others, encodeMember(m))
	}
	for _, b := range h.LeavingBackends {
		out.LeavingBackends = append(out.LeavingBackends, string(b))
	}
	return out
}

// DecodeHeartbeat validates a protobuf message and converts it to a heartbeat.
// It reports wasabiridge.ErrInvalid when a bound is exceeded or a name is
// missing.
func DecodeHeartbeat(h *pb.Heartbeat) (wasabiridge.Heartbeat, error) {
	var out wasabiridge.Heartbeat
	var err error
	if len(h.GetOthers()) > maxOthers || len(h.GetLeavingBackends()) > maxBackends {
		return out, wasabiridge.ErrInvalid.New("peer: heartbeat has too many members or backend servers")
	}
	if out.From, err = decodeMember(h.GetFrom()); err != nil {
		return wasabiridge.Heartbeat{}, err
	}
	for _, m := range h.Others {
		var other wasabiridge.Member
		if other, err = decodeMember(m); err != nil {
			return wasabiridge.Heartbeat{}, err
		}
		out.Others = append(out.Others, other)
	}
	for _, b := range h.LeavingBackends {
		if b == "" || len(b) > maxNameLen {
			return wasabiridge.Heartbeat{}, wasabiridge.ErrInvalid.New("peer: heartbeat contains a backend server name of %d bytes", len(b))
		}
		out.LeavingBackends = append(out.LeavingBackends, wasabiridge.BackendServerID(b))
	}
	out.SentAt = wasabiridge.Millis(h.SentAtMs)
	out.Digest = h.Digest
	return out, nil
}

func encodeDocument(d wasabiridge.ConfigDocument) *pb.ConfigDocument {
	return &pb.ConfigDocument{Version: uint64(d.Version), Text: d.Text, Author: d.Author, AtMs: int64(d.At)}
}

func decodeDocument(d *pb.ConfigDocument) wasabiridge.ConfigDocument {
	return wasabiridge.ConfigDocument{
		Version: wasabiridge.ConfigVersion(d.GetVersion()),
		Text:    d.GetText(),
		Author:  d.GetAuthor(),
		At:      wasabiridge.Millis(d.GetAtMs()),
	}
}

func encodeTimelineQuery(q wasabiridge.TimelineQuery) *pb.TimelineQuery {
	return &pb.TimelineQuery{
		Request: string(q.Request),
		Account: string(q.Account),
		Backend: string(q.Backend),
		SinceMs: int64(q.Since),
		UntilMs: int64(q.Until),
		Limit:   int64(q.Limit),
	}
}

func decodeTimelineQuery(q *pb.TimelineQuery) wasabiridge.TimelineQuery {
	return wasabiridge.TimelineQuery{
		Request: wasabiridge.RequestID(q.GetRequest()),
		Account: wasabiridge.ClientAccountID(q.GetAccount()),
		Backend: wasabiridge.BackendServerID(q.GetBackend()),
		Since:   wasabiridge.Millis(q.GetSinceMs()),
		Until:   wasabiridge.Millis(q.GetUntilMs()),
		Limit:   int(q.GetLimit()),
	}
}

func encodeTimelinePage(p wasabiridge.TimelinePage) *pb.TimelinePage {
	out := &pb.TimelinePage{Instance: string(p.Instance), Dropped: p.Dropped}
	for _, e := range p.Events {
		out.Events = append(out.Events, &pb.TimelineEvent{
			AtMs:     int64(e.At),
			Logical:  e.Logical,
			Instance: string(e.Instance),
			Kind:     string(e.Kind),
			Request:  string(e.Request),
			Attempt:  uint64(e.Attempt),
			Account:  string(e.Account),
			Rule:     string(e.Rule),
			Backend:  string(e.Backend),
			Cause:    e.Cause,
			Value:    e.Value,
		})
	}
	return out
}

func decodeTimelinePage(p *pb.TimelinePage) wasabiridge.TimelinePage {
	out := wasabiridge.TimelinePage{Instance: wasabiridge.InstanceID(p.GetInstance()), Dropped: p.GetDropped()}
	for _, e := range p.GetEvents() {
		out.Events = append(out.Events, wasabiridge.TimelineEvent{
			At:       wasabiridge.Millis(e.GetAtMs()),
			Logical:  e.GetLogical(),
			Instance: wasabiridge.InstanceID(e.GetInstance()),
			Kind:     wasabiridge.TimelineKind(e.GetKind()),
			Request:  wasabiridge.RequestID(e.GetRequest()),
			Attempt:  wasabiridge.AttemptID(e.GetAttempt()),
			Account:  wasabiridge.ClientAccountID(e.GetAccount()),
			Rule:     wasabiridge.RuleID(e.GetRule()),
			Backend:  wasabiridge.BackendServerID(e.GetBackend()),
			Cause:    e.GetCause(),
			Value:    e.GetValue(),
		})
	}
	return out
}
