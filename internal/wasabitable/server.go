package wasabitable

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
)

// Names of the DynamoDB API on the wire.
const (
	targetHeader = "X-Amz-Target"
	targetPrefix = "DynamoDB_20120810."
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
	contentType  = "application/x-amz-json-1.0"
	maxBody      = 16 << 20
)

// item is an item in the API's JSON form: attribute name, type letter, value.
type item map[string]map[string]string

func (i item) text(name string) string { return i[name]["S"] }

type wireRequest struct {
	Key                       item
	KeyConditionExpression    string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
	ClientRequestToken        string
	TransactItems             []wireChange
}

type wireChange struct {
	Put    *wireWrite
	Delete *wireWrite
}

type wireWrite struct {
	Item                      item
	Key                       item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type wireError struct {
	Type    string       `json:"__type"`
	Message string       `json:"message"`
	Reasons []wireReason `json:"CancellationReasons,omitempty"`
}

type wireReason struct{ Code string }

type wireItem struct {
	Item item `json:",omitempty"`
}

type wireItems struct {
	Items            []item
	Count            int
	LastEvaluatedKey item `json:",omitempty"`
}

// Handler serves the part of the DynamoDB API that Client uses, on top of a
// table in memory with its injected faults. Items are stored as they were
// received. A lost response is simulated by closing the connection without one.
func Handler(m *Memory) http.Handler {
	s := &server{memory: m}
	return http.HandlerFunc(s.serve)
}

type server struct{ memory *Memory }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	var q wireRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		writeError(w, wireError{Type: "SerializationException", Message: err.Error()})
		return
	}
	switch strings.TrimPrefix(r.Header.Get(targetHeader), targetPrefix) {
	case "GetItem":
		s.getItem(w, r, q)
	case "Query":
		s.query(w, r, q)
	case "TransactWriteItems":
		s.transact(w, r, q)
	default:
		writeError(w, wireError{Type: "UnknownOperationException"})
	}
}

func (s *server) getItem(w http.ResponseWriter, r *http.Request, q wireRequest) {
	row, err := s.memory.Get(r.Context(), q.Key.text(attributeKey))
	if err != nil {
		writeError(w, wireError{Type: codeThrottled, Message: err.Error()})
		return
	}
	if row.Revision == 0 {
		writeJSON(w, http.StatusOK, wireItem{})
		return
	}
	writeJSON(w, http.StatusOK, wireItem{Item: decodeItem(row)})
}

func (s *server) query(w http.ResponseWriter, r *http.Request, q wireRequest) {
	prefix := q.ExpressionAttributeValues.text(parameterPrefix)
	if q.KeyConditionExpression != conditionPrefix || q.Limit < 1 {
		writeError(w, wireError{Type: codeValidation, Message: "this server supports one form of query only"})
		return
	}
	rows, err := s.memory.List(r.Context(), prefix, q.ExclusiveStartKey.text(attributeKey), q.Limit)
	if err != nil {
		writeError(w, wireError{Type: codeThrottled, Message: err.Error()})
		return
	}
	out := wireItems{Items: []item{}, Count: len(rows)}
	for _, row := range rows {
		out.Items = append(out.Items, decodeItem(row))
	}
	if len(rows) == q.Limit {
		last := out.Items[len(rows)-1]
		out.LastEvaluatedKey = item{attributePartition: last[attributePartition], attributeKey: last[attributeKey]}
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *server) transact(w http.ResponseWriter, r *http.Request, q wireRequest) {
	tx := wasabiridge.Transaction{ID: wasabiridge.WriteID(q.ClientRequestToken)}
	reasons := make([]wireReason, len(q.TransactItems))
	failed := false
	for i, c := range q.TransactItems {
		change, ok := s.change(c)
		reasons[i].Code = "None"
		if !ok {
			reasons[i].Code = codeConditionFailed
			failed = true
		}
		tx.Changes = append(tx.Changes, change)
	}
	if failed {
		// No row can have this revision, so the table rejects the transaction.
		// The commit still goes through the table, so that injected faults
		// affect failed conditions as well.
		tx.Changes[0].IfRevision = impossibleRevision
	}
	s.respond(w, s.memory.Commit(r.Context(), tx), reasons)
}

const impossibleRevision = 1 << 63

// change checks the condition against the current item. The table then checks
// that the row has not changed in between.
func (s *server) change(c wireChange) (wasabiridge.RowChange, bool) {
	write, key := c.Put, ""
	if write != nil {
		key = write.Item.text(attributeKey)
	} else if write = c.Delete; write != nil {
		key = write.Key.text(attributeKey)
	} else {
		return wasabiridge.RowChange{}, false
	}
	row := s.memory.peek(key)
	change := wasabiridge.RowChange{Key: key, IfRevision: row.Revision, Delete: c.Delete != nil}
	if c.Put != nil {
		// Marshalling a map of strings cannot fail.
		change.Value, _ = json.Marshal(write.Item)
	}
	switch write.ConditionExpression {
	case conditionMissing:
		return change, row.Revision == 0
	case conditionRevision:
		want := write.ExpressionAttributeValues[parameterRevision]["N"]
		return change, row.Revision != 0 && decodeItem(row)[attributeRevision]["N"] == want
	default:
		return change, false
	}
}

func (s *server) respond(w http.ResponseWriter, err error, reasons []wireReason) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, struct{}{})
	case errorx.IsOfType(err, wasabiridge.ErrConflict):
		if len(reasons) > 0 {
			reasons[0].Code = codeConditionFailed
		}
		writeError(w, wireError{Type: codeCanceled, Message: err.Error(), Reasons: reasons})
	case errorx.IsOfType(err, wasabiridge.ErrUnavailable):
		writeError(w, wireError{Type: codeThrottled, Message: err.Error()})
	case errorx.IsOfType(err, wasabiridge.ErrInvalid):
		writeError(w, wireError{Type: codeValidation, Message: err.Error()})
	default:
		// The outcome is unknown: close the connection without a response.
		panic(http.ErrAbortHandler)
	}
}

func decodeItem(row wasabiridge.Row) item {
	var i item
	if err := json.Unmarshal(row.Value, &i); err != nil {
		return item{}
	}
	return i
}

func writeError(w http.ResponseWriter, e wireError) {
	e.Type = errorPrefix + e.Type
	writeJSON(w, http.StatusBadRequest, e)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// Encoding fails only when the caller is gone, and then nobody can receive
	// an error.
	_ = json.NewEncoder(w).Encode(body)
}
