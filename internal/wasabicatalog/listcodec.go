package wasabicatalog

import (
	"bytes"
	"compress/gzip"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wasabiridge/wasabiridge"
)

// Kinds of encoded lists, the first byte of the content. Fields follow one another without
// numbers, as variable-length integers and strings with their lengths.
const (
	fullList  = 'F'
	listDelta = 'D'
	// plain marks a kind whose content is not compressed.
	plain = 0x80
	// maxPlain is the length up to which content is not compressed.
	maxPlain = 256
)

// Flags of an encoded entry.
const (
	flagRegistered = 1 << iota
	flagChecksFencing
	flagLeaving
	flagLapsed
	flagReturned
)

// emptyDigest is the digest of a list without entries. It is not zero, which stands for no
// list.
const emptyDigest = 0x9e3779b97f4a7c15

// digestOf returns the digest of a list. It is the sum of those of the entries, so that the
// digest after a change follows from the change.
func digestOf(entries []wasabiridge.BackendEntry) uint64 {
	digest := uint64(emptyDigest)
	buffer := make([]byte, 0, 256)
	for _, e := range entries {
		buffer = appendEntry(buffer[:0], e)
		digest += xxhash.Sum64(buffer)
	}
	return digest
}

func hashEntry(e wasabiridge.BackendEntry) uint64 {
	return xxhash.Sum64(appendEntry(make([]byte, 0, 256), e))
}

func appendEntry(out []byte, e wasabiridge.BackendEntry) []byte {
	s := e.Server
	for _, text := range [...]string{string(s.ID), s.URL, string(s.Kind), string(s.Zone), string(s.Software), string(e.Pool)} {
		out = protowire.AppendString(out, text)
	}
	flags := uint64(0)
	for i, set := range [...]bool{s.SoftwareRegistered, s.ChecksFencing, e.Leaving, e.Lapsed, e.Returned} {
		if set {
			flags |= 1 << i
		}
	}
	for _, v := range [...]uint64{uint64(max(s.Slots, 0)), uint64(s.Weights), uint64(s.Incarnation), flags, uint64(len(e.Weights))} {
		out = protowire.AppendVarint(out, v)
	}
	if len(e.Weights) == 0 {
		return out
	}
	for _, model := range slices.Sorted(maps.Keys(e.Weights)) {
		out = protowire.AppendString(out, string(model))
		out = protowire.AppendVarint(out, uint64(e.Weights[model]))
	}
	return out
}

// encodeList returns the encoded complete list.
func encodeList(entries []wasabiridge.BackendEntry) []byte {
	out := protowire.AppendVarint(nil, uint64(len(entries)))
	for _, e := range entries {
		out = appendEntry(out, e)
	}
	return pack(fullList, out)
}

// encodeDelta returns the encoded change.
func encodeDelta(s step) []byte {
	out := protowire.AppendVarint(nil, s.from)
	out = protowire.AppendVarint(out, uint64(len(s.set)))
	for _, e := range s.set {
		out = appendEntry(out, e)
	}
	out = protowire.AppendVarint(out, uint64(len(s.removed)))
	for _, id := range s.removed {
		out = protowire.AppendString(out, string(id))
	}
	return pack(listDelta, out)
}

// compressors holds compressors, which take a megabyte each.
var compressors = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// pack compresses encoded content behind its kind and its length. Lists change often, so they are compressed
// with little effort.
func pack(kind byte, content []byte) []byte {
	if len(content) <= maxPlain {
		return append([]byte{kind | plain}, content...)
	}
	out := bytes.NewBuffer(protowire.AppendVarint([]byte{kind}, uint64(len(content))))
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(out)
	if _, err := w.Write(content); err != nil {
		return nil
	}
	if err := w.Close(); err != nil {
		return nil
	}
	return out.Bytes()
}

// unpack returns the kind and the content. It reports ErrInvalid.
func unpack(packed []byte) (byte, []byte, error) {
	if len(packed) == 0 {
		return 0, nil, wasabiridge.ErrInvalid.New("catalog: a list is empty")
	}
	if packed[0]&plain != 0 {
		return packed[0] &^ plain, packed[1:], nil
	}
	length, n := protowire.ConsumeVarint(packed[1:])
	if n < 0 || length > maxContent {
		return 0, nil, wasabiridge.ErrInvalid.New("catalog: a list of %d bytes, at most %d are allowed", length, uint64(maxContent))
	}
	r, err := gzip.NewReader(bytes.NewReader(packed[1+n:]))
	if err != nil {
		return 0, nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: decompress a list")
	}
	content := make([]byte, length)
	if _, err = io.ReadFull(r, content); err != nil {
		return 0, nil, wasabiridge.ErrInvalid.Wrap(err, "catalog: decompress a list")
	}
	return packed[0], content, r.Close()
}

// reader decodes the fields of a list. After the first field that cannot be decoded, failed is
// set and all further fields are zero.
type reader struct {
	rest   []byte
	failed bool
	// texts holds each of the few different texts once, and weights each set of versions.
	texts   map[string]string
	weights map[string]map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	names   strings.Builder
}

func newReader(content []byte) *reader {
	return &reader{rest: content, texts: map[string]string{}, weights: map[string]map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}}
}

func (r *reader) number() uint64 {
	v, n := protowire.ConsumeVarint(r.rest)
	if n < 0 {
		r.rest, r.failed = nil, true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes() []byte {
	v, n := protowire.ConsumeBytes(r.rest)
	if n < 0 {
		r.rest, r.failed = nil, true
		return nil
	}
	r.rest = r.rest[n:]
	return v
}

// shared returns a text that many entries have.
func (r *reader) shared() string {
	v := r.bytes()
	text, known := r.texts[string(v)]
	if !known {
		text = string(v)
		r.texts[text] = text
	}
	return text
}

// entries decodes a number of entries and the entries. Their names share one string, which
// takes less memory than one for each.
func (r *reader) entries() []wasabiridge.BackendEntry {
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	out := make([]wasabiridge.BackendEntry, 0, n)
	lengths := make([]int, 0, 2*n)
	for range n {
		id, url := r.bytes(), r.bytes()
		_, _ = r.names.Write(id)
		_, _ = r.names.Write(url)
		lengths = append(lengths, len(id), len(url))
		out = append(out, r.entry())
	}
	names := r.names.String()
	r.names = strings.Builder{}
	for i := range out {
		id, url := lengths[2*i], lengths[2*i+1]
		out[i].Server.ID, out[i].Server.URL = wasabiridge.BackendServerID(names[:id]), names[id:id+url]
		names = names[id+url:]
	}
	return out
}

// entry decodes an entry without the identifier and URL of its server.
func (r *reader) entry() wasabiridge.BackendEntry {
	var e wasabiridge.BackendEntry
	e.Server.Kind, e.Server.Zone = wasabiridge.BackendKind(r.shared()), wasabiridge.AvailabilityZone(r.shared())
	e.Server.Software, e.Pool = wasabiridge.SoftwareVersion(r.shared()), wasabiridge.PoolID(r.shared())
	e.Server.Slots, e.Server.Weights, e.Server.Incarnation = int(r.number()), wasabiridge.WeightsVersion(r.number()), wasabiridge.Incarnation(r.number())
	flags := r.number()
	e.Server.SoftwareRegistered, e.Server.ChecksFencing = flags&flagRegistered != 0, flags&flagChecksFencing != 0
	e.Leaving, e.Lapsed, e.Returned = flags&flagLeaving != 0, flags&flagLapsed != 0, flags&flagReturned != 0
	e.Weights = r.versions()
	return e
}

// versions decodes the weights of an entry. Equal ones are shared, as they are not modified.
func (r *reader) versions() map[wasabiridge.ModelID]wasabiridge.WeightsVersion {
	n := r.number()
	if n == 0 || r.failed {
		return nil
	}
	begin := r.rest
	for range n {
		if _ = r.bytes(); r.failed {
			return nil
		}
		_ = r.number()
	}
	key := string(begin[:len(begin)-len(r.rest)])
	if known := r.weights[key]; known != nil && uint64(len(known)) == n {
		return known
	}
	inner := reader{rest: begin}
	out := make(map[wasabiridge.ModelID]wasabiridge.WeightsVersion)
	for range n {
		model := wasabiridge.ModelID(inner.bytes())
		out[model] = wasabiridge.WeightsVersion(inner.number())
	}
	r.weights[key] = out
	return out
}

// removed decodes a number of identifiers and the identifiers.
func (r *reader) removed() []wasabiridge.BackendServerID {
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	out := make([]wasabiridge.BackendServerID, 0, n)
	for range n {
		out = append(out, wasabiridge.BackendServerID(r.bytes()))
	}
	return out
}

// decodedList is the list that a response leads to.
type decodedList struct {
	entries []wasabiridge.BackendEntry
	digest  uint64
	// change is the change that led to it, or nil for a complete list.
	change *step
}

// decodeBackends decodes the list of a response, given the known one and its digest. It reports
// ErrInvalid for content that cannot be decoded and for a change of another list.
func decodeBackends(packed []byte, digest uint64, known []wasabiridge.BackendEntry) (decodedList, error) {
	kind, content, err := unpack(packed)
	if err != nil {
		return decodedList{}, err
	}
	r := newReader(content)
	switch kind {
	case fullList:
		entries := r.entries()
		if r.failed {
			return decodedList{}, wasabiridge.ErrInvalid.New("catalog: a list of %d bytes is incomplete", len(content))
		}
		entries = sorted(entries)
		return decodedList{entries: entries, digest: digestOf(entries)}, nil
	case listDelta:
		s := step{from: r.number()}
		s.set, s.removed = r.entries(), r.removed()
		if r.failed || s.from != digest {
			return decodedList{}, wasabiridge.ErrInvalid.New("catalog: a change of a list with digest %x does not apply to %x", s.from, digest)
		}
		out := decodedList{change: &s}
		out.entries, out.digest = s.applied(digest, known)
		return out, nil
	}
	return decodedList{}, wasabiridge.ErrInvalid.New("catalog: unknown kind %q of a list", kind)
}
