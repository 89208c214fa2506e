package wasabiquarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// Isolation ranks servers for a suspect: it goes to the one with the highest value, at
// every instance, and each suspect to another one. So suspects that ran beside the
// request that ends servers part from it.
func Isolation(f wasabiridge.Fingerprint, b wasabiridge.BackendServerID) uint64 {
	return rank(f, string(b))
}

// rank is the weight of a name for a fingerprint, by which all instances choose alike.
func rank(f wasabiridge.Fingerprint, name string) uint64 {
	data := binary.BigEndian.AppendUint64(make([]byte, 0, 64), uint64(f))
	return xxhash.Sum64(append(data, name...))
}
