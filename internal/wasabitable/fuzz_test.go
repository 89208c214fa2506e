package wasabitable_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// canned answers every request with the same status and body.
type canned struct {
	status int
	body   []byte
}

func (c canned) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: c.status, Header: http.Header{"Content-Type": {"application/x-amz-json-1.0"}},
		Body: io.NopCloser(bytes.NewReader(c.body)), ContentLength: int64(len(c.body)), Request: r,
	}, nil
}

// FuzzClient passes arbitrary responses to the client. It must not panic, and
// may report that a write did not take effect only for an error that rules out
// an effect.
func FuzzClient(f *testing.F) {
	f.Add(200, []byte(`{"Item":{"pk":{"S":"a"},"sk":{"S":"a/b"},"data":{"B":"eA=="},"rev":{"N":"3"},"wid":{"S":"w"}}}`))
	f.Add(200, []byte(`{"Items":[{"rev":{"N":"-1"}}],"LastEvaluatedKey":{}}`))
	f.Add(400, []byte(`{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"ConditionalCheckFailed"}]}`))
	f.Add(500, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		client := wasabitable.NewClient(wasabitable.ClientOptions{
			URL: "http://127.0.0.1:1", Table: "t", Region: "local", AccessKey: "test", SecretKey: "test",
			Clock: wasabiclock.NewVirtual(1), Transport: canned{status: status, body: body},
		})
		if row, err := client.Get(context.Background(), "a/b"); err == nil && row.Revision == 0 && len(row.Value) > 0 {
			t.Fatalf("a missing row with a value: %+v", row)
		}
		_, _ = client.List(context.Background(), "a/", "", 3)
		err := client.Commit(context.Background(), wasabiridge.Transaction{ID: "w", Changes: []wasabiridge.RowChange{{Key: "a/b"}}})
		if status >= 500 && !errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown) && !bytes.Contains(body, []byte("xception")) && !bytes.Contains(body, []byte("RequestLimitExceeded")) {
			t.Fatalf("status %d with body %q was reported as %v", status, body, err)
		}
	})
}

// FuzzHandler sends arbitrary requests to the server. It must not panic except
// to abort a connection on purpose.
func FuzzHandler(f *testing.F) {
	f.Add("TransactWriteItems", []byte(`{"TransactItems":[{"Put":{"Item":{"sk":{"S":"a"}},"ConditionExpression":"attribute_not_exists(pk)"}},{}],"ClientRequestToken":"w"}`))
	f.Add("Query", []byte(`{"KeyConditionExpression":"pk = :pk AND begins_with(sk, :prefix)","Limit":1}`))
	f.Add("GetItem", []byte(`{"Key":{"sk":{"S":"a"}}}`))
	f.Fuzz(func(_ *testing.T, operation string, body []byte) {
		table, _ := virtualTable(noFaults)
		r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
		r.Header.Set("X-Amz-Target", "DynamoDB_20120810."+operation)
		wasabitable.Handler(table).ServeHTTP(httptest.NewRecorder(), r)
	})
}
