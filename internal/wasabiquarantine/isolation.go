package wasabiquarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// IsolationRank ranks backend servers for a suspect request: every instance sends it to
// the server with the highest value. Suspects with different fingerprints mostly get
// different servers, so requests that merely ran beside the one that ends servers are
// separated from it.
func IsolationRank(f wasabiridge.Fingerprint, b wasabiridge.BackendServerID) uint64 {
	return rank(f, string(b))
}

// rank returns the weight of a name for a fingerprint (rendezvous hashing), so that all
// instances make the same choice.
func rank(f wasabiridge.Fingerprint, name string) uint64 {
	data := binary.BigEndian.AppendUint64(make([]byte, 0, 64), uint64(f))
	return xxhash.Sum64(append(data, name...))
}
