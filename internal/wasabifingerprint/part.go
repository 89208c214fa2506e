package wasabifingerprint

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// maxParts bounds the parts of a prompt that have fingerprints.
const maxParts = 32

// Parts returns the fingerprints of the parts of a prompt that other requests may have: all
// but the last one. A part has the same fingerprint wherever it stands in a prompt. The parts
// of an account with a cache of its own differ from those of other accounts.
func Parts(c wasabiridge.Chain) []wasabiridge.Fingerprint {
	blocks := c.Blocks[:min(max(0, len(c.Blocks)-1), maxParts)]
	if len(blocks) == 0 {
		return nil
	}
	out := make([]wasabiridge.Fingerprint, 0, len(blocks))
	data := append(make([]byte, 8, 64), c.Root.Account...)
	data = append(append(data, 0), c.Root.Model...)
	for _, block := range blocks {
		binary.BigEndian.PutUint64(data, uint64(block))
		out = append(out, wasabiridge.Fingerprint(max(1, xxhash.Sum64(data))))
	}
	return out
}
