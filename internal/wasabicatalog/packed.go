package wasabicatalog

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/wasabiridge/wasabiridge"
)

// maxContent bounds content that is unpacked: a few times the largest
// configuration of the platform.
const maxContent = 32 << 20

// pack makes content small enough for slow links. It is done once for each
// change, not for each instance that asks.
//
// The failure it guards against: a configuration grows by two thousand rules, a
// megabyte. Instances with a link of 10 Mbit/s cannot take it from others
// within the time of a question, wait until it is their turn to read, and serve
// by the configuration before for almost four seconds.
func pack(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(content); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: pack")
	}
	if err := w.Close(); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: pack")
	}
	return out.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: unpack")
	}
	var out []byte
	if out, err = io.ReadAll(io.LimitReader(r, maxContent)); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: unpack")
	}
	return out, r.Close()
}
