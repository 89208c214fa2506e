package wasabiobject

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"

	"github.com/wasabiridge/wasabiridge"
)

// ClientOptions set up the adapter.
type ClientOptions struct {
	// URL is the endpoint of a service that speaks the S3 API.
	URL    string
	Bucket string
	// Region, AccessKey and SecretKey sign the calls. They come from the
	// settings; nothing else is searched for them.
	Region    string
	AccessKey string
	SecretKey string
	// Timeout bounds each call. Zero means 10 s.
	Timeout wasabiridge.Millis
}

// DefaultTimeout bounds a call to the object store.
const DefaultTimeout = 10 * wasabiridge.Second

// maxObject bounds the size of an object that is read, in bytes.
const maxObject = 64 << 20

// Error codes of the S3 API that the adapter tells apart.
const (
	codeMissing  = "NoSuchKey"
	codeSlowDown = "SlowDown"
)

// Client is a wasabiridge.ObjectStore behind the S3 API. It is safe for
// concurrent use. The retries of the library are off, so that a lost answer
// is reported as what it is.
type Client struct {
	api     *s3.Client
	options ClientOptions
}

var _ wasabiridge.ObjectStore = (*Client)(nil)

// NewClient returns an adapter. It does not connect yet.
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
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Client{api: api, options: o}
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.options.Timeout.Duration())
}

// Get reads an object. One that is longer than 64 MiB is reported as invalid.
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
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "read of object %q", name)
	}
	defer out.Body.Close()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(out.Body, maxObject+1)); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "read of object %q was cut", name)
	}
	if len(data) > maxObject {
		return nil, wasabiridge.ErrInvalid.New("object %q is longer than %d bytes", name, maxObject)
	}
	return data, nil
}

// Put writes an object as a whole.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	if name == "" {
		return wasabiridge.ErrInvalid.New("object without a name")
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
		return wasabiridge.ErrUnavailable.Wrap(err, "write of object %q", name)
	}
	return wasabiridge.ErrOutcomeUnknown.Wrap(err, "no answer to the write of object %q", name)
}

// List names objects in order.
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
			return nil, wasabiridge.ErrUnavailable.Wrap(err, "list of objects %q", prefix)
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
