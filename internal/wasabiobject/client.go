package wasabiobject

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// URL is the endpoint of a service that implements the S3 API.
	URL    string
	Bucket string
	// Region, AccessKey and SecretKey sign the calls. No other source of
	// credentials, such as the environment, is consulted.
	Region    string
	AccessKey string
	SecretKey string
	// Timeout bounds each call. Zero means DefaultTimeout.
	Timeout wasabiridge.Millis
}

// DefaultTimeout is the default time-out of a call.
const DefaultTimeout = 10 * wasabiridge.Second

// maxObject bounds the size of an object, in bytes.
const maxObject = 64 << 20

// Error codes of the S3 API that the client distinguishes.
const (
	codeMissing  = "NoSuchKey"
	codeSlowDown = "SlowDown"
)

// Client is a wasabiridge.ObjectStore that calls the S3 API. It is safe for
// concurrent use. The retries of the AWS library are off, so that a lost
// response is reported as an unknown outcome.
type Client struct {
	api     *s3.Client
	options ClientOptions
}

var _ wasabiridge.ObjectStore = (*Client)(nil)

// NewClient returns a client. It does not connect yet.
func NewClient(o ClientOptions) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	api := s3.New(s3.Options{
		BaseEndpoint:               aws.String(o.URL),
		UsePathStyle:               true,
		Region:                     o.Region,
		Credentials:                credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		Retryer:                    aws.NopRetryer{},
		HTTPClient:                 checkedClient{awshttp.NewBuildableClient()},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Client{api: api, options: o}
}

// checkedClient is the default client of the AWS library with a check of the heads of responses.
type checkedClient struct{ *awshttp.BuildableClient }

// Do implements s3.HTTPClient.
func (c checkedClient) Do(r *http.Request) (*http.Response, error) {
	response, err := c.BuildableClient.Do(r)
	if err != nil {
		return nil, err
	}
	if err = wasabihead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.options.Timeout.Duration())
}

// Get reads an object. It reports ErrNotFound for a missing object, and
// ErrInvalid for one that is larger than 64 MiB.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	var (
		out *s3.GetObjectOutput
		err error
	)
	if out, err = c.api.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(c.options.Bucket), Key: aws.String(name),
	}); err != nil {
		if errorCode(err) == codeMissing {
			return nil, wasabiridge.ErrNotFound.Wrap(err, "object %q", name)
		}
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "read object %q", name)
	}
	defer out.Body.Close()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(out.Body, maxObject+1)); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "read of object %q was truncated", name)
	}
	if len(data) > maxObject {
		return nil, wasabiridge.ErrInvalid.New("object %q is longer than %d bytes", name, maxObject)
	}
	return data, nil
}

// Put creates or replaces an object. It reports ErrUnavailable when the object
// was certainly not written, and ErrOutcomeUnknown when it may have been.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	if name == "" {
		return wasabiridge.ErrInvalid.New("object has no name")
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	if _, err := c.api.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(c.options.Bucket), Key: aws.String(name), Body: bytes.NewReader(data),
	}); err != nil {
		return putError(name, err)
	}
	return nil
}

func putError(name string, err error) error {
	var dial *net.OpError
	if (errors.As(err, &dial) && dial.Op == "dial") || errorCode(err) == codeSlowDown {
		return wasabiridge.ErrUnavailable.Wrap(err, "write object %q", name)
	}
	return wasabiridge.ErrOutcomeUnknown.Wrap(err, "no usable response to the write of object %q", name)
}

// List returns object names in order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	input := &s3.ListObjectsV2Input{
		Bucket: aws.String(c.options.Bucket), Prefix: aws.String(prefix), StartAfter: aws.String(after),
	}
	var names []string
	for len(names) < limit {
		input.MaxKeys = aws.Int32(int32(limit - len(names)))
		var (
			out *s3.ListObjectsV2Output
			err error
		)
		if out, err = c.api.ListObjectsV2(ctx, input); err != nil {
			return nil, wasabiridge.ErrUnavailable.Wrap(err, "list objects with prefix %q", prefix)
		}
		for _, object := range out.Contents {
			names = append(names, aws.ToString(object.Key))
		}
		if !aws.ToBool(out.IsTruncated) || len(out.Contents) == 0 {
			break
		}
		input.StartAfter = aws.String(names[len(names)-1])
	}
	return names, nil
}

func errorCode(err error) string {
	var api smithy.APIError
	if errors.As(err, &api) {
		return api.ErrorCode()
	}
	return ""
}
