package wasabishare

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// PoolDigest returns the name of a pool in messages.
func PoolDigest(id wasabiridge.PoolID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// AccountDigest returns the name of a client account in messages. It is never zero.
func AccountDigest(id wasabiridge.ClientAccountID) uint32 {
	return max(1, uint32(xxhash.Sum64String(string(id))))
}

// ReturnDigest returns the name of a request in messages.
func ReturnDigest(f wasabiridge.Fingerprint) uint32 {
	var data [8]byte
	binary.LittleEndian.PutUint64(data[:], uint64(f))
	return uint32(xxhash.Sum64(data[:]))
}
