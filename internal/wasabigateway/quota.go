package wasabigateway

import (
	"net/http"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

// Names of headers that tell how an account stands beside its limit, as client libraries
// of the OpenAI API know them. The unit of the limit follows.
const (
	limitHeader     = "X-Ratelimit-Limit-"
	remainingHeader = "X-Ratelimit-Remaining-"
	resetHeader     = "X-Ratelimit-Reset-"
)

// setQuota tells the caller how its account stands. An account without a limit gets no
// such header.
func setQuota(h http.Header, q wasabiridge.QuotaState) {
	if q.Limit <= 0 {
		return
	}
	unit := "Requests"
	if q.Unit == wasabiridge.LimitTokens {
		unit = "Tokens"
	}
	h.Set(limitHeader+unit, strconv.FormatInt(int64(q.Limit), 10))
	h.Set(remainingHeader+unit, strconv.FormatInt(int64(q.Remaining), 10))
	h.Set(resetHeader+unit, q.Reset.Duration().String())
}
