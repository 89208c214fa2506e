// Package wasabiprefix turns prompts into chains of cache blocks.
//
// A block has about as many tokens as a model engine caches as a unit. There is no
// tokenizer; the number of tokens is estimated from the length of the text with
// BytesPerToken. The hash of a block covers the block, all blocks before it and the
// root. So, apart from hash collisions, two prompts share a block hash only if they
// share the complete prefix under the same root: the client account or sharing group,
// model, adapter and weights.
//
// Hashes are only used to select backend servers. They are not collision resistant
// against an attacker, and need not be: which blocks an engine may reuse depends on
// the salt, which the engine includes in its own cache keys.
//
// # Usage
//
//	root := wasabiridge.CacheRoot{Account: "liftwell", Model: "answer"}
//	chain := wasabiprefix.NewChain(root, prompt, 2048)
//	body.CacheSalt = wasabiprefix.Salt(root)
package wasabiprefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// BytesPerToken is the estimated length of a token, in bytes of text.
	BytesPerToken = 4
	// DefaultBlockTokens is the default block size, in tokens.
	DefaultBlockTokens = 2048
)

// NewChain returns the chain of the prompt. Only full blocks have a hash. If
// blockTokens is zero or less, DefaultBlockTokens is used. The prompt is not retained.
func NewChain(root wasabiridge.CacheRoot, prompt []byte, blockTokens int) wasabiridge.Chain {
	if blockTokens <= 0 {
		blockTokens = DefaultBlockTokens
	}
	size := blockTokens * BytesPerToken
	chain := wasabiridge.Chain{
		Root:        root,
		BlockTokens: blockTokens,
		Tokens:      (len(prompt) + BytesPerToken - 1) / BytesPerToken,
	}
	count := len(prompt) / size
	if count == 0 {
		return chain
	}
	chain.Blocks = make([]wasabiridge.BlockHash, count)
	previous := rootHash(root)
	var digest xxhash.Digest
	for i := range chain.Blocks {
		digest.ResetWithSeed(previous)
		_, _ = digest.Write(prompt[i*size : (i+1)*size])
		previous = digest.Sum64()
		chain.Blocks[i] = wasabiridge.BlockHash(previous)
	}
	return chain
}

// Salt returns a string that differs for different roots. An engine that includes it in
// its cache keys never shares a block between two roots. The salt is a SHA-256 hash, so
// it does not reveal the names in the root.
func Salt(root wasabiridge.CacheRoot) string {
	sum := sha256.Sum256(encode(root))
	return hex.EncodeToString(sum[:])
}

// shortSaltDigits is the length of a short salt in hexadecimal digits. With 96 bits,
// accidental collisions are practically impossible.
const shortSaltDigits = 24

// ShortSalt returns a prefix of Salt, for caches that report the salts of their contents.
func ShortSalt(root wasabiridge.CacheRoot) string { return Salt(root)[:shortSaltDigits] }

// SegmentKey returns the key of a prompt segment in caches that store segments by salt.
func SegmentKey(salt string, segment wasabiridge.BlockHash) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(salt), uint64(segment)))
}

func rootHash(root wasabiridge.CacheRoot) uint64 {
	return xxhash.Sum64(encode(root))
}

// encode returns an unambiguous encoding of the root. The names are prefixed with their
// lengths; without these, account "a" with model "bc" and account "ab" with model "c"
// would share a cache.
func encode(root wasabiridge.CacheRoot) []byte {
	out := make([]byte, 0, 64)
	for _, field := range [...]string{string(root.Account), string(root.Model), string(root.Adapter)} {
		out = binary.AppendUvarint(out, uint64(len(field)))
		out = append(out, field...)
	}
	out = binary.LittleEndian.AppendUint64(out, uint64(root.Weights))
	return append(out, root.Sharing...)
}
