// Package s3store is a client of S3 for the system's one bucket, in path
// style. One call is one send: nothing in it repeats a call.
package s3store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
)

// Config says where the bucket is.
type Config struct {
	Endpoint  string // base URL
	Region    string
	AccessKey string
	SecretKey string
	Bucket    string
	Timeout   time.Duration // of one call
}

// Store is the client.
type Store struct {
	api    *s3.Client
	bucket string
}

var _ provider.ObjectStore = (*Store)(nil)

// New returns a client. It makes no call.
func New(c Config) *Store {
	api := s3.New(s3.Options{
		BaseEndpoint:                aws.String(c.Endpoint),
		Region:                      c.Region,
		Credentials:                 credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, ""),
		Retryer:                     aws.NopRetryer{},
		HTTPClient:                  onesend.NewClient(c.Timeout),
		UsePathStyle:                true,
		RequestChecksumCalculation:  aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation:  aws.ResponseChecksumValidationWhenRequired,
		DisableS3ExpressSessionAuth: aws.Bool(true),
	})
	return &Store{api: api, bucket: c.Bucket}
}

// Put stores an object, replacing one with the same key.
func (s *Store) Put(ctx context.Context, key string, value []byte) error {
	ctx, sent := onesend.Track(ctx)
	_, err := s.api.PutObject(ctx, &s3.PutObjectInput{
		Bucket:        &s.bucket,
		Key:           &key,
		Body:          bytes.NewReader(value),
		ContentLength: aws.Int64(int64(len(value))),
	})
	return writeError(err, sent)
}

// Get reads an object; provider.ErrNotFound when there is none.
func (s *Store) Get(ctx context.Context, key string) ([]byte, error) {
	out, err := s.api.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.bucket, Key: &key})
	if err != nil {
		return nil, readError(err)
	}
	defer out.Body.Close()
	value, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, readError(err)
	}
	return value, nil
}

// Delete removes an object, if there is one.
func (s *Store) Delete(ctx context.Context, key string) error {
	ctx, sent := onesend.Track(ctx)
	_, err := s.api.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: &s.bucket, Key: &key})
	return writeError(err, sent)
}

// readError maps a failed read. A read has no effect, whatever went wrong.
func readError(err error) error {
	if codeOf(err) == "NoSuchKey" {
		return wrap(provider.ErrNotFound, err)
	}
	return wrap(provider.ErrUnavailable, err)
}

// writeError maps a failed write. Only an answer that says so, or a call of
// which no byte was written, proves that there was no effect.
func writeError(err error, sent *onesend.Sent) error {
	if err == nil {
		return nil
	}
	if refusedCodes[codeOf(err)] || sent.Nothing() {
		return wrap(provider.ErrUnavailable, err)
	}
	return wrap(provider.ErrUnknownOutcome, err)
}

// refusedCodes are answers that precede any effect.
var refusedCodes = map[string]bool{
	"AccessDenied":          true,
	"EntityTooLarge":        true,
	"InvalidAccessKeyId":    true,
	"InvalidBucketName":     true,
	"NoSuchBucket":          true,
	"RequestTimeTooSkewed":  true,
	"SignatureDoesNotMatch": true,
	"SlowDown":              true,
}

func codeOf(err error) string {
	var answer smithy.APIError
	if errors.As(err, &answer) {
		return answer.ErrorCode()
	}
	return ""
}

func wrap(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
