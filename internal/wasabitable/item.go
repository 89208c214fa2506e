package wasabitable

import (
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// Attributes of an item. The partition is the part of the key up to its first
// slash, so that a list reads one partition in the order of the sort key.
const (
	attributePartition = "pk"
	attributeKey       = "sk"
	attributeValue     = "data"
	attributeRevision  = "rev"
	attributeWrite     = "wid"
)

// Expressions that the adapter sends and the stand-in server understands.
const (
	conditionMissing  = "attribute_not_exists(pk)"
	conditionRevision = "rev = :rev"
	conditionPrefix   = "pk = :pk AND begins_with(sk, :prefix)"
	parameterRevision = ":rev"
	parameterPrefix   = ":prefix"
	parameterPart     = ":pk"
)

// Error codes of the DynamoDB API that the adapter tells apart.
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
		return wasabiridge.ErrInvalid.New("list prefix %q does not name a whole partition, such as \"claims/\"", prefix)
	}
	return nil
}
