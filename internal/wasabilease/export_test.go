package wasabilease

// The codec of lease rows, for tests.
type Record = record

var (
	EncodeRecord = encodeRecord
	DecodeRecord = decodeRecord
)
