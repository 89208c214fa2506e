package wasabievent

import (
	"bytes"
	"strconv"
)

// Fault is why an event is not the next one of a run. It is empty if nothing is wrong.
type Fault string

// Faults of events.
const (
	FaultField    Fault = "a line is no field"
	FaultNoID     Fault = "no id"
	FaultIDs      Fault = "two ids"
	FaultNumber   Fault = "id is no number"
	FaultNoData   Fault = "no data"
	FaultRepeated Fault = "id not above the last one"
	FaultSkipped  Fault = "id skips others"
	// FaultDoubted is that of events that the router rejects although their bytes are sound,
	// because they may be those of another run.
	FaultDoubted Fault = "id skips others near the end, as too few streams do"
)

// NoID stands for an identifier that is missing or no number.
const NoID = -1

// isLineEnd reports whether a character is one of those that end lines.
func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }

// Parse returns the identifier of a complete event, or NoID with what is wrong with the event.
//
// An event of a run has one identifier, which is a decimal number, and data. Each of
// its lines is a comment or a field. Fields that the format does not know are ignored by its
// readers if they have a colon and a name of lower case letters, digits and hyphens.
func Parse(event []byte) (id int64, fault Fault) {
	data := false
	id = NoID
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		name, value, colon := bytes.Cut(line, []byte(":"))
		switch {
		case colon && len(name) == 0:
		case string(name) == "data":
			data = true
		case string(name) == "id" && id != NoID:
			return NoID, FaultIDs
		case string(name) == "id":
			if id = parseID(value); id == NoID {
				return NoID, FaultNumber
			}
		case string(name) == "event", string(name) == "retry":
		case !colon || !isExtension(name):
			return NoID, FaultField
		}
	}
	switch {
	case id == NoID:
		return NoID, FaultNoID
	case !data:
		return NoID, FaultNoData
	}
	return id, ""
}

// parseID returns the number that an identifier is, or NoID.
func parseID(value []byte) int64 {
	text := string(bytes.Trim(value, " "))
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil || text[0] < '0' || text[0] > '9' {
		return NoID
	}
	return id
}

// isExtension reports whether a name may be that of a field which the format does not know.
func isExtension(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// LastID returns the identifier that is stated last in whole events, or "".
func LastID(events []byte) string {
	id := ""
	for line := range bytes.FieldsFuncSeq(bytes.TrimPrefix(events, byteOrderMark), isLineEnd) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
