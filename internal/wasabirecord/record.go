// Package wasabirecord encodes records as the values of rows of the platform's table
// and decodes them. Values are JSON with names in snake case. Unknown fields are
// ignored, so that instances of different versions can read each other's rows.
//
// # Usage
//
//	value := wasabirecord.Encode(record)
//	if err := wasabirecord.Decode("lease", row.Value, &record); err != nil {
//		return err
//	}
package wasabirecord

import (
	"encoding/json"

	"github.com/wasabiridge/wasabiridge"
)

// Encode returns the JSON encoding of a record. The record must be a struct of strings,
// numbers, bytes and nested structs of these, for which encoding cannot fail. Encode
// panics if it does.
func Encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return value
}

// Decode decodes a value into record, which must be a pointer. It returns ErrInvalid,
// with the kind of the record in its message, for a malformed value.
func Decode(kind string, value []byte, record any) error {
	if err := json.Unmarshal(value, record); err != nil {
		return wasabiridge.ErrInvalid.New("%s: row is not a valid record", kind)
	}
	return nil
}
