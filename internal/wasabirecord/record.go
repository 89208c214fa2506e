// Package wasabirecord turns records into the values of rows of the platform's
// table and back. Values are JSON with names in snake case; fields that a
// reader does not know are ignored, so that instances of two versions can read
// each other's rows.
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

// Encode returns the value of a record. The record is a struct of strings,
// numbers, bytes and such structs, which always encodes.
func Encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return value
}

// Decode reads a value into the record that the pointer names. It reports
// ErrInvalid, with the noun of the record, for a value that is none.
func Decode(noun string, value []byte, record any) error {
	if err := json.Unmarshal(value, record); err != nil {
		return wasabiridge.ErrInvalid.New("%s: row is not a record", noun)
	}
	return nil
}
