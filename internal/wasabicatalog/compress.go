package wasabicatalog

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/wasabiridge/wasabiridge"
)

// maxContent limits decompressed content to a few times the largest configuration of
// the platform.
const maxContent = 32 << 20

// compress compresses content for slow links. It runs once per change, not once per
// query.
//
// The failure it guards against: a configuration grows by two thousand rules, a
// megabyte. Instances with a link of 10 Mbit/s cannot receive it from another instance
// within queryTimeout, wait until their rank allows them to read from the platform, and
// serve by the previous configuration for almost four seconds.
func compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(content); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: compress")
	}
	if err := w.Close(); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: compress")
	}
	return out.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: decompress")
	}
	var out []byte
	if out, err = io.ReadAll(io.LimitReader(r, maxContent)); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: decompress")
	}
	return out, r.Close()
}
