package wasabioperator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
)

// FuzzTimelineQuery sends any query string. The response must be a report or an
// error with the code invalid, and the timeline must receive the parameters of the
// query string.
func FuzzTimelineQuery(f *testing.F) {
	for _, seed := range []string{"request=r1", "since=5m&until=1m&limit=10", "since=2026-12-02T15:04:05Z", "limit=-1", "since=%zz", "account=a;backend=b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, query string) {
		p := &components{}
		r := httptest.NewRequest(http.MethodGet, "/v1/timeline", nil)
		r.URL.RawQuery = query
		r.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		handler(p).ServeHTTP(w, r)
		var refusal wasabioperator.ErrorResponse
		switch {
		case w.Code == http.StatusOK:
			values, _ := url.ParseQuery(query)
			if p.query.Request != wasabiridge.RequestID(values.Get("request")) || p.query.Limit < 0 {
				t.Fatalf("%q became %+v", query, p.query)
			}
		case w.Code != http.StatusBadRequest:
			t.Fatalf("%q: HTTP %d", query, w.Code)
		case json.Unmarshal(w.Body.Bytes(), &refusal) != nil || refusal.Error.Code != wasabioperator.CodeInvalid:
			t.Fatalf("%q: %s", query, w.Body)
		}
	})
}

func FuzzParseTime(f *testing.F) {
	for _, seed := range []string{"", "5m", "1234", "-1s", "2026-12-02T15:04:05Z", "9223372036854775807", "1e3"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		at, err := wasabioperator.ParseTime(text, now)
		if err != nil && at != 0 {
			t.Fatalf("%q: ParseTime returned a time together with an error", text)
		}
	})
}
