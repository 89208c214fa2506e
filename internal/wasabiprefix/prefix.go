// Package wasabiprefix turns prompts into chains of cache blocks.
//
// A block is a run of about as many tokens as a model engine caches in one
// piece. Without a tokenizer the length in tokens is estimated from the text
// at BytesPerToken. Each block's hash covers the block, every block before it
// and the root, so two prompts share a hash exactly when they share the whole
// prefix under the same client account, model, adapter and weights.
//
// Hashes only steer requests. They are not collision resistant against an
// attacker, and they need not be: what an engine may reuse is bound by the
// salt, which the engine mixes into its own cache keys.
//
// # Usage
//
//	root := wasabiridge.CacheRoot{Account: "liftwell", Model: "answer"}
//	chain := wasabiprefix.Of(root, prompt, 2048)
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
	// BytesPerToken is the estimated length of one token of text.
	BytesPerToken = 4
	// DefaultBlockTokens is the size of a block when none is configured.
	DefaultBlockTokens = 2048
)

// Of returns the chain of the prompt. Only full blocks get a hash. A block
// size of zero or less means DefaultBlockTokens. The prompt is not kept.
func Of(root wasabiridge.CacheRoot, prompt []byte, blockTokens int) wasabiridge.Chain {
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

// Salt returns a text that differs for different roots. An engine that mixes
// it into its cache keys never shares a block between two roots. The text
// does not show the names in the root.
func Salt(root wasabiridge.CacheRoot) string {
	sum := sha256.Sum256(encode(root))
	return hex.EncodeToString(sum[:])
}

// shortDigits is the length of a short salt: 96 bits, far beyond what could meet
// by chance.
const shortDigits = 24

// ShortSalt returns the first part of Salt, for caches that tell their salts.
func ShortSalt(root wasabiridge.CacheRoot) string { return Salt(root)[:shortDigits] }

// PartKey names a part of a prompt in the caches that find it under a salt.
func PartKey(salt string, part wasabiridge.BlockHash) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(salt), uint64(part)))
}

func rootHash(root wasabiridge.CacheRoot) uint64 {
	return xxhash.Sum64(encode(root))
}

// encode writes every field behind its length. Without the lengths the
// account "a" with model "bc" and the account "ab" with model "c" would share
// a cache.
func encode(root wasabiridge.CacheRoot) []byte {
	out := make([]byte, 0, 64)
	for _, field := range [...]string{string(root.Account), string(root.Model), string(root.Adapter)} {
		out = binary.AppendUvarint(out, uint64(len(field)))
		out = append(out, field...)
	}
	out = binary.LittleEndian.AppendUint64(out, uint64(root.Weights))
	return append(out, root.Sharing...)
}
