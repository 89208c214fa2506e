package wasabicatalog

import (
	"github.com/klauspost/compress/zstd"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// basesKept and baseBytes bound the earlier contents of a part that are kept, so
	// that others are sent only what has changed since.
	basesKept = 4
	baseBytes = 8 << 20
	// windowLeast and windowMost bound how far back a delta may refer.
	windowLeast = 64 << 10
	windowMost  = 32 << 20
)

// base is a content that others may have.
type base struct {
	digest  uint64
	content []byte
}

// dictionaryOf names a base within a delta. Zero stands for none.
func dictionaryOf(digest uint64) uint32 { return uint32(digest) }

// packDelta packs content for somebody who has a base.
//
// The failure it guards against: hundreds of engines get new weights in turn, and
// with each reading the whole list goes to every instance. With 1,600 engines and
// 370 instances that is more than the link of the instance that reads can take.
func packDelta(content []byte, b base) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryOf(b.digest), b.content),
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(content)+len(b.content))))
	if err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: pack a delta")
	}
	out := encoder.EncodeAll(content, nil)
	return out, encoder.Close()
}

// unpackDelta unpacks what packDelta packed against one of some bases. It reports
// ErrInvalid when none of them is the one.
func unpackDelta(packed []byte, bases []base) ([]byte, error) {
	var h zstd.Header
	if err := h.Decode(packed); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: unpack a delta")
	}
	for _, b := range bases {
		if dictionaryOf(b.digest) != h.DictionaryID {
			continue
		}
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(h.DictionaryID, b.content),
			zstd.WithDecoderMaxMemory(maxContent), zstd.WithDecoderConcurrency(1))
		if err != nil {
			return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: unpack a delta")
		}
		defer decoder.Close()
		var out []byte
		if out, err = decoder.DecodeAll(packed, nil); err != nil {
			return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: unpack a delta")
		}
		return out, nil
	}
	return nil, wasabiridge.ErrInvalid.New("catalog: a delta against content that is not known here")
}

// isDelta reports whether packed content is a delta.
func isDelta(packed []byte) bool {
	var h zstd.Header
	return h.Decode(packed) == nil && h.DictionaryID != 0
}

// windowFor is the least power of two that holds a size.
func windowFor(size int) int {
	window := windowLeast
	for window < size && window < windowMost {
		window *= 2
	}
	return window
}
