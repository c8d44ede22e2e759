// Package dynamo implements provider.Table with one DynamoDB table. Its primary
// key consists of the partition key pk and the sort key sk, both strings; ver (a
// number) holds a row's version and val (binary) its value. No request is
// retried.
package dynamo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
)

const maxTokenCharacters = 36 // DynamoDB's limit for ClientRequestToken

// Config locates the table and holds the credentials for it.
type Config struct {
	Endpoint  string // base URL
	Region    string
	AccessKey string
	SecretKey string
	TableName string
	Timeout   time.Duration // of one call
}

// Table is a client of one DynamoDB table.
type Table struct {
	api  *dynamodb.Client
	name string
}

var _ provider.Table = (*Table)(nil)

// New returns a client. It sends no request.
func New(c Config) *Table {
	api := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(c.Endpoint),
		Region:       c.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   onesend.NewClient(c.Timeout),
	})
	return &Table{api: api, name: c.TableName}
}

// Get reads one row. It returns provider.ErrNotFound if there is none.
func (t *Table) Get(ctx context.Context, partition, sort string, consistent bool) (provider.Row, error) {
	out, err := t.api.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &t.name,
		Key:            primaryKey(partition, sort),
		ConsistentRead: &consistent,
	})
	if err != nil {
		return provider.Row{}, mapReadError(err)
	}
	if len(out.Item) == 0 {
		return provider.Row{}, provider.ErrNotFound
	}
	return decodeRow(out.Item)
}

// Query returns at most limit rows of a partition whose sort key is greater than
// after, in the order of their sort keys. A limit of 0 means no limit. If the rows
// don't fit into one response, Query sends several requests.
func (t *Table) Query(ctx context.Context, partition, after string, limit int, consistent bool) ([]provider.Row, error) {
	var rows []provider.Row
	for {
		page, more, err := t.queryPage(ctx, partition, after, limit-len(rows), consistent)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if !more || len(page) == 0 || (limit > 0 && len(rows) >= limit) {
			return rows, nil
		}
		after = page[len(page)-1].Sort
	}
}

// queryPage reads one page of rows. It also reports whether there are more.
func (t *Table) queryPage(ctx context.Context, partition, after string, limit int, consistent bool) ([]provider.Row, bool, error) {
	in := &dynamodb.QueryInput{
		TableName:                 &t.name,
		KeyConditionExpression:    aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": stringAttribute(partition)},
		ConsistentRead:            &consistent,
	}
	if after != "" {
		in.KeyConditionExpression = aws.String("pk = :pk AND sk > :sk")
		in.ExpressionAttributeValues[":sk"] = stringAttribute(after)
	}
	if limit > 0 {
		in.Limit = aws.Int32(int32(limit))
	}
	out, err := t.api.Query(ctx, in)
	if err != nil {
		return nil, false, mapReadError(err)
	}
	rows := make([]provider.Row, 0, len(out.Items))
	for _, it := range out.Items {
		r, err := decodeRow(it)
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, r)
	}
	return rows, len(out.LastEvaluatedKey) > 0, nil
}

// Transact applies all writes or none. Resending them with the same token is
// harmless for as long as DynamoDB remembers the token.
func (t *Table) Transact(ctx context.Context, token string, writes []provider.Write) error {
	ctx, tracker := onesend.TrackWrites(ctx)
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		items[i] = t.transactItem(w)
	}
	in := &dynamodb.TransactWriteItemsInput{TransactItems: items}
	if token != "" {
		in.ClientRequestToken = aws.String(shortenToken(token))
	}
	_, err := t.api.TransactWriteItems(ctx, in)
	return mapWriteError(err, tracker)
}

// shortenToken replaces a token that is longer than DynamoDB allows by a prefix of
// its SHA-256 hash.
func shortenToken(token string) string {
	if len(token) <= maxTokenCharacters {
		return token
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])[:maxTokenCharacters]
}

func (t *Table) transactItem(w provider.Write) types.TransactWriteItem {
	condition, values := writeCondition(w)
	switch {
	case w.CheckOnly:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &t.name, Key: primaryKey(w.Partition, w.Sort),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case w.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &t.name, Key: primaryKey(w.Partition, w.Sort),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case w.Unconditional:
		return types.TransactWriteItem{Update: &types.Update{
			TableName: &t.name, Key: primaryKey(w.Partition, w.Sort),
			UpdateExpression: aws.String("SET val = :val ADD ver :one"),
			ExpressionAttributeValues: map[string]types.AttributeValue{
				":val": binaryAttribute(w.Value), ":one": numberAttribute(1),
			},
		}}
	default:
		item := primaryKey(w.Partition, w.Sort)
		item["ver"] = numberAttribute(w.IfVersion + 1)
		item["val"] = binaryAttribute(w.Value)
		return types.TransactWriteItem{Put: &types.Put{
			TableName: &t.name, Item: item,
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	}
}

func writeCondition(w provider.Write) (*string, map[string]types.AttributeValue) {
	switch {
	case w.Unconditional:
		return nil, nil
	case w.IfVersion == 0:
		return aws.String("attribute_not_exists(pk)"), nil
	default:
		return aws.String("ver = :v"), map[string]types.AttributeValue{":v": numberAttribute(w.IfVersion)}
	}
}

func primaryKey(partition, sort string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{"pk": stringAttribute(partition), "sk": stringAttribute(sort)}
}

func stringAttribute(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttribute(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func binaryAttribute(b []byte) types.AttributeValue {
	if b == nil {
		b = []byte{}
	}
	return &types.AttributeValueMemberB{Value: b}
}
