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

// txLatency is how long the store takes for a call, as the sheets of the sites say.
const txLatency = 4 * time.Millisecond

// maxRows is the largest number of rows in one response.
const maxRows = 500

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   string
	version uint64
}

type rowChange struct {
	key     rowKey
	version uint64
	value   string
	gone    bool
}

// store is the platform's store: rows with conditional transactions, as PROTOCOL.md says.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	changes []rowChange
	version uint64
	started time.Time
	address string
	server  *http.Server
}

func newStore() *store {
	s := &store{rows: map[rowKey]storedRow{}, started: time.Now()}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = socket.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(socket) }()
	return s
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowKey{table, "", key}, base64.StdEncoding.EncodeToString(data))
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.unset(rowKey{table, "", key})
}

func (s *store) set(k rowKey, value string) {
	s.rows[k] = storedRow{value, s.version}
	s.changes = append(s.changes, rowChange{key: k, version: s.version, value: value})
}

func (s *store) unset(k rowKey) {
	delete(s.rows, k)
	s.changes = append(s.changes, rowChange{key: k, version: s.version, gone: true})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(txLatency)
	status, out := s.handle(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *store) handle(r *http.Request, body []byte) (int, map[string]any) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/api/rows-get":
		return s.get(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case r.URL.Path == "/api/rows-feed":
		return s.feed(q.Get("table"), q.Get("after"), q.Get("waitMs"))
	case r.URL.Path == "/api/rows-parts":
		return http.StatusOK, s.stamped(map[string]any{"parts": []string{""}})
	case r.URL.Path == "/api/rows-tx" && r.Method == http.MethodPost:
		return s.commit(body)
	case r.URL.Path == "/api/blob-list":
		return http.StatusOK, map[string]any{"names": []string{}, "hasMore": false}
	}
	return http.StatusNotFound, nil
}

// stamped adds the version and the time of the store to a response.
func (s *store) stamped(out map[string]any) map[string]any {
	out["schemaVersion"] = s.version
	out["serverTimeMs"] = time.Since(s.started).Milliseconds()
	return out
}

func encodeRow(k rowKey, value string, version uint64, gone bool) map[string]any {
	out := map[string]any{"table": k.table, "part": k.part, "key": k.key, "schemaVersion": version}
	if gone {
		out["tombstone"] = true
	} else {
		out["value"] = value
	}
	return out
}

func (s *store) get(table, part, from, to, limit string) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, err := strconv.Atoi(limit)
	if err != nil || most > maxRows || most <= 0 {
		most = maxRows
	}
	var keys []rowKey
	for k := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].key < keys[b].key })
	more := len(keys) > most
	rows := []any{}
	for _, k := range keys[:min(most, len(keys))] {
		rows = append(rows, encodeRow(k, s.rows[k].value, s.rows[k].version, false))
	}
	return http.StatusOK, s.stamped(map[string]any{"rows": rows, "hasMore": more})
}

func (s *store) feed(table, afterText, waitText string) (int, map[string]any) {
	after, err := strconv.ParseUint(afterText, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, _ := strconv.Atoi(waitText)
	for end := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		rows := []any{}
		for _, c := range s.changes {
			if c.key.table == table && c.version > after && len(rows) < maxRows {
				rows = append(rows, encodeRow(c.key, c.value, c.version, c.gone))
			}
		}
		out := s.stamped(map[string]any{"rows": rows})
		s.mu.Unlock()
		if len(rows) > 0 || time.Now().After(end) {
			return http.StatusOK, out
		}
	}
}

type txRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"schemaVersion"`
}

func (s *store) commit(body []byte) (int, map[string]any) {
	var tx struct {
		Expected []txRow `json:"expected"`
		Put      []txRow `json:"put"`
		Delete   []txRow `json:"delete"`
	}
	if json.Unmarshal(body, &tx) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]txRow{tx.Put, tx.Delete} {
		for _, r := range list {
			if r.Table == "op" || r.Table == "servers" {
				return http.StatusForbidden, nil
			}
		}
	}
	failed, current := false, []any{}
	for _, e := range tx.Expected {
		k := rowKey{e.Table, e.Part, e.Key}
		have, exists := s.rows[k]
		failed = failed || have.version != e.Version
		if exists {
			current = append(current, encodeRow(k, have.value, have.version, false))
		}
	}
	if failed {
		return http.StatusPreconditionFailed, s.stamped(map[string]any{"rows": current})
	}
	s.version++
	for _, p := range tx.Put {
		s.set(rowKey{p.Table, p.Part, p.Key}, p.Value)
	}
	for _, d := range tx.Delete {
		s.unset(rowKey{d.Table, d.Part, d.Key})
	}
	return http.StatusOK, s.stamped(map[string]any{})
}

func hasPrefix(text string, prefixes ...string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(text, p) {
			return true
		}
	}
	return false
}
