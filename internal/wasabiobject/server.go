package wasabiobject

import (
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
)

// defaultPageSize is the number of names in a page when the request does not
// limit it.
const defaultPageSize = 1000

type wireError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

type wireList struct {
	XMLName     xml.Name `xml:"ListBucketResult"`
	Name        string
	Prefix      string
	StartAfter  string
	KeyCount    int
	MaxKeys     int
	IsTruncated bool
	Contents    []wireObject
}

type wireObject struct{ Key string }

// Handler serves the part of the S3 API that Client uses, with path-style
// addresses below the given mount point, such as "/s3". Each bucket is a store
// in memory with its own injected faults. A lost response is simulated by
// closing the connection without one.
func Handler(mount string, buckets map[string]*Memory) http.Handler {
	s := &server{mount: mount, buckets: buckets}
	r := chi.NewRouter()
	r.Get(mount+"/{bucket}", s.list)
	r.Get(mount+"/{bucket}/", s.list)
	r.Get(mount+"/{bucket}/*", s.get)
	r.Put(mount+"/{bucket}/*", s.put)
	return r
}

type server struct {
	mount   string
	buckets map[string]*Memory
}

// locate splits a path into the bucket and the name of the object. It reads the
// decoded path, because the router matches the encoded one.
func (s *server) locate(w http.ResponseWriter, r *http.Request) (*Memory, string, bool) {
	bucket, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, s.mount+"/"), "/")
	m, ok := s.buckets[bucket]
	if !ok {
		writeError(w, http.StatusNotFound, "NoSuchBucket", bucket)
	}
	return m, name, ok
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	m, name, ok := s.locate(w, r)
	if !ok {
		return
	}
	data, err := m.Get(r.Context(), name)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	m, name, ok := s.locate(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		writeError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	if err = m.Put(r.Context(), name, data); err != nil {
		writeStoreError(w, err)
	}
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	m, _, ok := s.locate(w, r)
	if !ok {
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("max-keys"))
	if err != nil || limit < 0 {
		limit = defaultPageSize
	}
	out := wireList{Name: chi.URLParam(r, "bucket"), Prefix: q.Get("prefix"), StartAfter: q.Get("start-after"), MaxKeys: limit}
	var names []string
	if names, err = m.List(r.Context(), out.Prefix, out.StartAfter, limit+1); err != nil {
		writeStoreError(w, err)
		return
	}
	out.IsTruncated = len(names) > limit
	for _, name := range names[:min(limit, len(names))] {
		out.Contents = append(out.Contents, wireObject{Key: name})
	}
	out.KeyCount = len(out.Contents)
	writeXML(w, http.StatusOK, out)
}

func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, wasabiridge.ErrNotFound):
		writeError(w, http.StatusNotFound, codeMissing, err.Error())
	case errorx.IsOfType(err, wasabiridge.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, codeSlowDown, err.Error())
	case errorx.IsOfType(err, wasabiridge.ErrInvalid):
		writeError(w, http.StatusBadRequest, "InvalidRequest", err.Error())
	default:
		// The outcome is unknown: close the connection without a response.
		panic(http.ErrAbortHandler)
	}
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeXML(w, status, wireError{Code: code, Message: message})
}

func writeXML(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	// Encoding fails only when the caller is gone, and then nobody can receive
	// an error.
	_ = xml.NewEncoder(w).Encode(body)
}
