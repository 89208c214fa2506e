package wasabigateway

import (
	"net/http"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

// Prefixes of the headers that report an account's limit, as OpenAI client
// libraries expect them. The unit of the limit is appended.
const (
	limitHeader     = "X-Ratelimit-Limit-"
	remainingHeader = "X-Ratelimit-Remaining-"
	resetHeader     = "X-Ratelimit-Reset-"
)

// setQuota sets the rate limit headers. An account without a limit gets none.
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
