// Package s3store implements provider.ObjectStore with one S3 bucket, addressed
// in path style. Each call sends one request and never retries.
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

// Config locates the bucket and holds the credentials for it.
type Config struct {
	Endpoint  string // base URL
	Region    string
	AccessKey string
	SecretKey string
	Bucket    string
	Timeout   time.Duration // of one call
}

// Store is a client of one S3 bucket.
type Store struct {
	api    *s3.Client
	bucket string
}

var _ provider.ObjectStore = (*Store)(nil)

// New returns a client. It sends no request.
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
	ctx, tracker := onesend.TrackWrites(ctx)
	_, err := s.api.PutObject(ctx, &s3.PutObjectInput{
		Bucket:        &s.bucket,
		Key:           &key,
		Body:          bytes.NewReader(value),
		ContentLength: aws.Int64(int64(len(value))),
	})
	return mapWriteError(err, tracker)
}

// Get reads an object. It returns provider.ErrNotFound if there is none.
func (s *Store) Get(ctx context.Context, key string) ([]byte, error) {
	out, err := s.api.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.bucket, Key: &key})
	if err != nil {
		return nil, mapReadError(err)
	}
	defer out.Body.Close()
	value, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, mapReadError(err)
	}
	return value, nil
}

// Delete deletes an object. It is no error if there is none.
func (s *Store) Delete(ctx context.Context, key string) error {
	ctx, tracker := onesend.TrackWrites(ctx)
	_, err := s.api.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: &s.bucket, Key: &key})
	return mapWriteError(err, tracker)
}

// mapReadError maps the error of a failed read to a sentinel of package
// provider. A read has no effect, so its outcome is never unknown.
func mapReadError(err error) error {
	if errorCode(err) == "NoSuchKey" {
		return withCause(provider.ErrNotFound, err)
	}
	return withCause(provider.ErrUnavailable, err)
}

// mapWriteError maps the error of a failed write to a sentinel of package
// provider. Only two things prove that the write had no effect: a response with
// one of noEffectCodes, or that no byte of the request was written to the
// network.
func mapWriteError(err error, tracker *onesend.WriteTracker) error {
	if err == nil {
		return nil
	}
	if noEffectCodes[errorCode(err)] || tracker.NothingWritten() {
		return withCause(provider.ErrUnavailable, err)
	}
	return withCause(provider.ErrUnknownOutcome, err)
}

// noEffectCodes are the error codes with which S3 rejects a request before it
// has any effect.
var noEffectCodes = map[string]bool{
	"AccessDenied":          true,
	"EntityTooLarge":        true,
	"InvalidAccessKeyId":    true,
	"InvalidBucketName":     true,
	"NoSuchBucket":          true,
	"RequestTimeTooSkewed":  true,
	"SignatureDoesNotMatch": true,
	"SlowDown":              true,
}

func errorCode(err error) string {
	var apiError smithy.APIError
	if errors.As(err, &apiError) {
		return apiError.ErrorCode()
	}
	return ""
}

func withCause(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
