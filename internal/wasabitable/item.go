package wasabitable

import (
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// Attributes of an item. The partition is the part of the key before its first
// slash, so that a list reads one partition, ordered by the sort key.
const (
	attributePartition = "pk"
	attributeKey       = "sk"
	attributeValue     = "data"
	attributeRevision  = "rev"
	attributeWrite     = "wid"
)

// Expressions that the client sends and the server supports.
const (
	conditionMissing  = "attribute_not_exists(pk)"
	conditionRevision = "rev = :rev"
	conditionPrefix   = "pk = :pk AND begins_with(sk, :prefix)"
	parameterRevision = ":rev"
	parameterPrefix   = ":prefix"
	parameterPart     = ":pk"
)

// Error codes of the DynamoDB API that the client distinguishes.
const (
	codeConditionFailed = "ConditionalCheckFailed"
	codeCanceled        = "TransactionCanceledException"
	codeThrottled       = "ThrottlingException"
	codeLimitExceeded   = "RequestLimitExceeded"
	codeThroughput      = "ProvisionedThroughputExceededException"
	codeValidation      = "ValidationException"
	codeConflictEnd     = "TransactionConflictException"
)

func partition(key string) string {
	head, _, _ := strings.Cut(key, "/")
	return head
}

func checkListPrefix(prefix string) error {
	if !strings.Contains(prefix, "/") {
		return wasabiridge.ErrInvalid.New("list prefix %q must contain a complete partition name, such as \"claims/\"", prefix)
	}
	return nil
}
