package wasabilease

// The decoder of lease rows, for tests.
type Record = record

var (
	EncodeRecord = encodeRecord
	DecodeRecord = decodeRecord
)
