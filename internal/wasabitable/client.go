package wasabitable

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// URL is the endpoint of a service that implements the DynamoDB API.
	URL string
	// Table is the name of the table. Its partition key "pk" and its sort key
	// "sk" are strings.
	Table string
	// Region, AccessKey and SecretKey sign the calls. No other source of
	// credentials, such as the environment, is consulted.
	Region    string
	AccessKey string
	SecretKey string
	// Timeout bounds each call. Zero means DefaultTimeout.
	Timeout wasabiridge.Millis
	Clock   wasabiridge.Clock
	// Transport sends the calls. Nil means the default transport of net/http.
	Transport http.RoundTripper
}

// DefaultTimeout is the default time-out of a call.
const DefaultTimeout = 2 * wasabiridge.Second

// Client is a wasabiridge.Table that calls the DynamoDB API. It is safe for
// concurrent use. The retries of the AWS library are off: it would repeat a
// write after a lost response, which only a Writer may do.
type Client struct {
	api     *dynamodb.Client
	options ClientOptions
}

var _ wasabiridge.Table = (*Client)(nil)

// NewClient returns a client. It does not connect yet.
func NewClient(o ClientOptions) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	api := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.URL),
		Region:       o.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   &http.Client{Transport: wasabihead.Transport(o.Transport)},
	})
	return &Client{api: api, options: o}
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.options.Timeout.Duration())
}

// Get reads a row with strong consistency: it sees all writes that were
// acknowledged.
func (c *Client) Get(ctx context.Context, key string) (wasabiridge.Row, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	var (
		out *dynamodb.GetItemOutput
		err error
	)
	if out, err = c.api.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(c.options.Table),
		Key:            itemKey(key),
		ConsistentRead: aws.Bool(true),
	}); err != nil {
		return wasabiridge.Row{}, wasabiridge.ErrUnavailable.Wrap(err, "read row %q", key)
	}
	if len(out.Item) == 0 {
		return wasabiridge.Row{Key: key}, nil
	}
	return itemRow(out.Item)
}

// List reads rows of one partition, so the prefix must contain a slash.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]wasabiridge.Row, error) {
	if err := checkListPrefix(prefix); err != nil {
		return nil, err
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	input := &dynamodb.QueryInput{
		TableName:              aws.String(c.options.Table),
		KeyConditionExpression: aws.String(conditionPrefix),
		ConsistentRead:         aws.Bool(true),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			parameterPart:   stringValue(partition(prefix)),
			parameterPrefix: stringValue(prefix),
		},
	}
	if after > prefix {
		if !strings.HasPrefix(after, prefix) {
			return nil, nil
		}
		input.ExclusiveStartKey = itemKey(after)
	}
	return c.pages(ctx, input, limit)
}

// pages reads the pages of a query until the limit is reached.
func (c *Client) pages(ctx context.Context, input *dynamodb.QueryInput, limit int) ([]wasabiridge.Row, error) {
	var rows []wasabiridge.Row
	for len(rows) < limit {
		input.Limit = aws.Int32(int32(limit - len(rows)))
		var (
			out *dynamodb.QueryOutput
			err error
		)
		if out, err = c.api.Query(ctx, input); err != nil {
			return nil, wasabiridge.ErrUnavailable.Wrap(err, "list rows of partition %q", input.ExpressionAttributeValues[parameterPart])
		}
		for _, item := range out.Items {
			var row wasabiridge.Row
			if row, err = itemRow(item); err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		if len(out.LastEvaluatedKey) == 0 {
			break
		}
		input.ExclusiveStartKey = out.LastEvaluatedKey
	}
	return rows, nil
}

// Commit executes a transaction.
func (c *Client) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	if err := CheckTransaction(tx); err != nil {
		return err
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	items := make([]types.TransactWriteItem, len(tx.Changes))
	for i, change := range tx.Changes {
		items[i] = c.item(tx.ID, change)
	}
	if _, err := c.api.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items}); err != nil {
		return commitError(tx.ID, err)
	}
	return nil
}

func (c *Client) item(id wasabiridge.WriteID, change wasabiridge.RowChange) types.TransactWriteItem {
	condition, parameters := aws.String(conditionMissing), map[string]types.AttributeValue(nil)
	if change.IfRevision != 0 {
		condition = aws.String(conditionRevision)
		parameters = map[string]types.AttributeValue{parameterRevision: numberValue(change.IfRevision)}
	}
	if change.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: aws.String(c.options.Table), Key: itemKey(change.Key),
			ConditionExpression: condition, ExpressionAttributeValues: parameters,
		}}
	}
	item := itemKey(change.Key)
	item[attributeValue] = &types.AttributeValueMemberB{Value: change.Value}
	item[attributeRevision] = numberValue(c.nextRevision(change.IfRevision))
	item[attributeWrite] = stringValue(string(id))
	return types.TransactWriteItem{Put: &types.Put{
		TableName: aws.String(c.options.Table), Item: item,
		ConditionExpression: condition, ExpressionAttributeValues: parameters,
	}}
}

// revisionNoiseBits is the number of random bits below the milliseconds in a
// revision.
const revisionNoiseBits = 20

// nextRevision returns a revision above the last one, because the service
// itself does not count revisions. A row that is deleted and created again must
// not get an old revision, or a late write for the earlier row would satisfy
// its condition. With the time and random bits, the chance of that is one in a
// million for two writes within one millisecond, and zero otherwise.
func (c *Client) nextRevision(last uint64) uint64 {
	stamp := uint64(c.options.Clock.Now())<<revisionNoiseBits | uint64(rand.Uint32()>>(32-revisionNoiseBits))
	return max(last+1, stamp)
}

// commitError classifies the error of a write. It reports that nothing took
// effect only for responses of the service that rule out an effect, and for
// connections that were never established. All other errors are
// ErrOutcomeUnknown.
func commitError(id wasabiridge.WriteID, err error) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return canceledError(id, canceled)
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return wasabiridge.ErrUnavailable.Wrap(err, "write %q: could not connect", id)
	}
	var api smithy.APIError
	if errors.As(err, &api) {
		switch api.ErrorCode() {
		case codeThrottled, codeLimitExceeded, codeThroughput, codeConflictEnd:
			return wasabiridge.ErrUnavailable.Wrap(err, "write %q was rejected by the service", id)
		case codeValidation:
			return wasabiridge.ErrInvalid.Wrap(err, "write %q is invalid", id)
		}
	}
	return wasabiridge.ErrOutcomeUnknown.Wrap(err, "no usable response to write %q", id)
}

// canceledError distinguishes a failed condition from other reasons for a
// cancellation, such as a conflict with another transaction in flight. In
// neither case did the transaction take effect.
func canceledError(id wasabiridge.WriteID, canceled *types.TransactionCanceledException) error {
	for _, reason := range canceled.CancellationReasons {
		if aws.ToString(reason.Code) == codeConditionFailed {
			return wasabiridge.ErrConflict.Wrap(canceled, "write %q: a condition failed", id)
		}
	}
	return wasabiridge.ErrUnavailable.Wrap(canceled, "write %q was cancelled, but no condition failed", id)
}

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberValue(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func itemKey(key string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: stringValue(partition(key)),
		attributeKey:       stringValue(key),
	}
}

func itemRow(item map[string]types.AttributeValue) (wasabiridge.Row, error) {
	key, okKey := item[attributeKey].(*types.AttributeValueMemberS)
	value, okValue := item[attributeValue].(*types.AttributeValueMemberB)
	revision, okRevision := item[attributeRevision].(*types.AttributeValueMemberN)
	write, okWrite := item[attributeWrite].(*types.AttributeValueMemberS)
	if !okKey || !okValue || !okRevision || !okWrite {
		return wasabiridge.Row{}, wasabiridge.ErrInvalid.New("item lacks an attribute of a row or has one of the wrong type")
	}
	number, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil || number == 0 {
		return wasabiridge.Row{}, wasabiridge.ErrInvalid.New("item %q has invalid revision %q", key.Value, revision.Value)
	}
	return wasabiridge.Row{
		Key:       key.Value,
		Revision:  number,
		Value:     value.Value,
		LastWrite: wasabiridge.WriteID(write.Value),
	}, nil
}
