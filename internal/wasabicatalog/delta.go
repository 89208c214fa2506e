package wasabicatalog

import (
	"github.com/klauspost/compress/zstd"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxBases and maxBaseBytes limit how many earlier contents are kept as bases of
	// deltas, so that other instances are sent only what has changed.
	maxBases     = 4
	maxBaseBytes = 8 << 20
	// minWindow and maxWindow limit the zstd window, that is, how far back a delta may
	// refer.
	minWindow = 64 << 10
	maxWindow = 32 << 20
)

// base is an earlier content that other instances may have.
type base struct {
	digest  uint64
	content []byte
}

// dictionaryID identifies a base in the zstd header of a delta. Zero means that there
// is none.
func dictionaryID(digest uint64) uint32 { return uint32(digest) }

// compressDelta compresses content as a delta for an instance that has the base.
//
// The failure it guards against: hundreds of engines get new weights one after another,
// and after each platform read the complete list is sent to every instance. With 1,600
// engines and 370 instances that exceeds the bandwidth of the instance that polls the
// platform.
func compressDelta(content []byte, b base) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID(b.digest), b.content),
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(content)+len(b.content))))
	if err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: compress a delta")
	}
	out := encoder.EncodeAll(content, nil)
	return out, encoder.Close()
}

// decompressDelta decompresses a delta that was made against one of the bases. It
// returns ErrInvalid when its base is not among them.
func decompressDelta(compressed []byte, bases []base) ([]byte, error) {
	var h zstd.Header
	if err := h.Decode(compressed); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: decompress a delta")
	}
	for _, b := range bases {
		if dictionaryID(b.digest) != h.DictionaryID {
			continue
		}
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(h.DictionaryID, b.content),
			zstd.WithDecoderMaxMemory(maxContent), zstd.WithDecoderConcurrency(1))
		if err != nil {
			return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: decompress a delta")
		}
		defer decoder.Close()
		var out []byte
		if out, err = decoder.DecodeAll(compressed, nil); err != nil {
			return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: decompress a delta")
		}
		return out, nil
	}
	return nil, wasabiridge.ErrInvalid.New("catalog: the base of the delta is not known at this instance")
}

// isDelta reports whether compressed content is a delta.
func isDelta(compressed []byte) bool {
	var h zstd.Header
	return h.Decode(compressed) == nil && h.DictionaryID != 0
}

// windowFor returns the smallest power of two that is not below size, within minWindow
// and maxWindow.
func windowFor(size int) int {
	window := minWindow
	for window < size && window < maxWindow {
		window *= 2
	}
	return window
}
