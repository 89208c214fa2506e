package wasabievent

import "bytes"

// Data returns the data of a complete event. It is empty if the event has none. Several lines of
// data are joined with LF. Each line of the event must be a comment or a field, as in Parse. An
// event without data has no fields that the format does not know: such a field may be that of the
// data behind other bytes.
func Data(event []byte) (data []byte, fault Fault) {
	lines, unknown := 0, false
	for len(event) > 0 {
		var line []byte
		if line, event = cutLine(event); len(line) == 0 {
			continue
		}
		name, value, colon := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "data":
			data = appendData(data, bytes.TrimPrefix(value, []byte(" ")), lines)
			lines++
		case "id", "event", "retry":
		default:
			if !colon || !isExtension(name) {
				return nil, FaultField
			}
			unknown = unknown || len(name) > 0
		}
	}
	if unknown && lines == 0 {
		return nil, FaultNoData
	}
	return data, ""
}

// cutLine returns the first line of a text, and the text behind the first byte of its line end.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	if cr := bytes.IndexByte(line, '\r'); cr >= 0 {
		return text[:cr], text[cr+1:]
	}
	return line, rest
}

// appendData appends a line of data behind the given number of lines. It copies nothing as long
// as there is one line only.
func appendData(data, line []byte, lines int) []byte {
	switch lines {
	case 0:
		return line
	case 1:
		// data is a part of the event, which must not be overwritten.
		data = bytes.Clone(data)
	}
	return append(append(data, '\n'), line...)
}
