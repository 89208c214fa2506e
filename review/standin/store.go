package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: rows with conditional transactions, and objects. It is
// always available and its responses are linearizable.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	blobs   map[string][]byte
	changes []change
	version uint64
	started time.Time
	address string
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   string
	version uint64
}

type change struct {
	key       rowKey
	value     string
	version   uint64
	tombstone bool
}

type wireRow struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     *string `json:"value,omitempty"`
	Version   uint64  `json:"schemaVersion"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

// startStore serves a store on a free loopback port.
func startStore() *store {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{rows: map[rowKey]storedRow{}, blobs: map[string][]byte{}, started: time.Now(), address: socket.Addr().String()}
	go func() { _ = http.Serve(socket, s) }()
	return s
}

// put writes a row as the operators and replicas do, and returns the time of the
// confirmation.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowKey{table: table, key: key}, base64.StdEncoding.EncodeToString(data))
	return time.Now()
}

// drop deletes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.unset(rowKey{table: table, key: key})
}

func (s *store) set(k rowKey, value string) {
	s.rows[k] = storedRow{value: value, version: s.version}
	s.changes = append(s.changes, change{key: k, value: value, version: s.version})
}

func (s *store) unset(k rowKey) {
	delete(s.rows, k)
	s.changes = append(s.changes, change{key: k, version: s.version, tombstone: true})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	status, response := s.handle(r, body)
	s.mu.Unlock()
	if response == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(response)
}

func (s *store) handle(r *http.Request, body []byte) (int, []byte) {
	q, path := r.URL.Query(), r.URL.Path
	switch {
	case path == "/api/rows-get":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit > 500 {
			limit = 500
		}
		return http.StatusOK, s.get(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit)
	case path == "/api/rows-feed":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		rows := []wireRow{}
		for _, c := range s.changes {
			if c.key.table == q.Get("table") && c.version > after {
				row := wireRow{Table: c.key.table, Part: c.key.part, Key: c.key.key, Version: c.version, Tombstone: c.tombstone}
				if !c.tombstone {
					row.Value = &c.value
				}
				rows = append(rows, row)
			}
		}
		return http.StatusOK, s.encode(map[string]any{"rows": rows})
	case path == "/api/rows-tx":
		return s.commit(body)
	case strings.HasPrefix(path, "/api/blob-put/"):
		name := strings.TrimPrefix(path, "/api/blob-put/")
		if _, exists := s.blobs[name]; exists && r.Header.Get("If-None-Match") == "*" {
			return http.StatusPreconditionFailed, nil
		}
		s.blobs[name] = body
		return http.StatusOK, nil
	case strings.HasPrefix(path, "/api/blob-get/"):
		data, ok := s.blobs[strings.TrimPrefix(path, "/api/blob-get/")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, data
	case path == "/api/blob-list":
		names := []string{}
		for name := range s.blobs {
			if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		return http.StatusOK, s.encode(map[string]any{"names": names, "hasMore": false})
	}
	return http.StatusNotFound, nil
}

func (s *store) get(table, part, from, to string, limit int) []byte {
	rows := []wireRow{}
	for k, stored := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			value := stored.value
			rows = append(rows, wireRow{Table: table, Part: part, Key: k.key, Value: &value, Version: stored.version})
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	return s.encode(map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": more})
}

func (s *store) commit(body []byte) (int, []byte) {
	var tx struct{ Expected, Put, Delete []wireRow }
	if json.Unmarshal(body, &tx) != nil {
		return http.StatusBadRequest, nil
	}
	for _, row := range append(append([]wireRow{}, tx.Put...), tx.Delete...) {
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, nil
		}
	}
	for _, e := range tx.Expected {
		if s.rows[rowKey{e.Table, e.Part, e.Key}].version != e.Version {
			return http.StatusPreconditionFailed, s.encode(map[string]any{"rows": []wireRow{}})
		}
	}
	s.version++
	for _, p := range tx.Put {
		s.set(rowKey{p.Table, p.Part, p.Key}, *p.Value)
	}
	for _, d := range tx.Delete {
		s.unset(rowKey{d.Table, d.Part, d.Key})
	}
	return http.StatusOK, s.encode(map[string]any{})
}

func (s *store) encode(response map[string]any) []byte {
	response["schemaVersion"], response["serverTimeMs"] = s.version, time.Since(s.started).Milliseconds()
	data, err := json.Marshal(response)
	check(err)
	return data
}
