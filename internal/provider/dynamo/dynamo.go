// Package dynamo is a client of DynamoDB for the system's one table. Its key is
// pk (S) and sk (S); ver (N) holds a row's version and val (B) its value. One
// call is one send: nothing in it repeats a call.
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

const maxTokenLength = 36 // of ClientRequestToken

// Config says where the table is.
type Config struct {
	Endpoint  string // base URL
	Region    string
	AccessKey string
	SecretKey string
	TableName string
	Timeout   time.Duration // of one call
}

// Table is the client.
type Table struct {
	api  *dynamodb.Client
	name string
}

var _ provider.Table = (*Table)(nil)

// New returns a client. It makes no call.
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

// Get reads one row; provider.ErrNotFound when there is none.
func (t *Table) Get(ctx context.Context, partition, sort string, consistent bool) (provider.Row, error) {
	out, err := t.api.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &t.name,
		Key:            key(partition, sort),
		ConsistentRead: &consistent,
	})
	if err != nil {
		return provider.Row{}, readError(err)
	}
	if len(out.Item) == 0 {
		return provider.Row{}, provider.ErrNotFound
	}
	return row(out.Item)
}

// Query returns rows of a partition whose sort key is above after, in order,
// at most limit of them; no limit when it is 0. A long partition takes several
// calls.
func (t *Table) Query(ctx context.Context, partition, after string, limit int, consistent bool) ([]provider.Row, error) {
	var rows []provider.Row
	for {
		page, more, err := t.page(ctx, partition, after, limit-len(rows), consistent)
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

func (t *Table) page(ctx context.Context, partition, after string, limit int, consistent bool) ([]provider.Row, bool, error) {
	in := &dynamodb.QueryInput{
		TableName:                 &t.name,
		KeyConditionExpression:    aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": text(partition)},
		ConsistentRead:            &consistent,
	}
	if after != "" {
		in.KeyConditionExpression = aws.String("pk = :pk AND sk > :sk")
		in.ExpressionAttributeValues[":sk"] = text(after)
	}
	if limit > 0 {
		in.Limit = aws.Int32(int32(limit))
	}
	out, err := t.api.Query(ctx, in)
	if err != nil {
		return nil, false, readError(err)
	}
	rows := make([]provider.Row, 0, len(out.Items))
	for _, it := range out.Items {
		r, err := row(it)
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, r)
	}
	return rows, len(out.LastEvaluatedKey) > 0, nil
}

// Transact applies all writes or none.
func (t *Table) Transact(ctx context.Context, token string, writes []provider.Write) error {
	ctx, sent := onesend.Track(ctx)
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		items[i] = t.item(w)
	}
	in := &dynamodb.TransactWriteItemsInput{TransactItems: items}
	if token != "" {
		in.ClientRequestToken = aws.String(shortToken(token))
	}
	_, err := t.api.TransactWriteItems(ctx, in)
	return writeError(err, sent)
}

// shortToken keeps a token within the service's limit.
func shortToken(token string) string {
	if len(token) <= maxTokenLength {
		return token
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])[:maxTokenLength]
}

func (t *Table) item(w provider.Write) types.TransactWriteItem {
	condition, values := condition(w)
	switch {
	case w.CheckOnly:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &t.name, Key: key(w.Partition, w.Sort),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case w.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &t.name, Key: key(w.Partition, w.Sort),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case w.Unconditional:
		return types.TransactWriteItem{Update: &types.Update{
			TableName: &t.name, Key: key(w.Partition, w.Sort),
			UpdateExpression: aws.String("SET val = :val ADD ver :one"),
			ExpressionAttributeValues: map[string]types.AttributeValue{
				":val": binary(w.Value), ":one": number(1),
			},
		}}
	default:
		item := key(w.Partition, w.Sort)
		item["ver"] = number(w.IfVersion + 1)
		item["val"] = binary(w.Value)
		return types.TransactWriteItem{Put: &types.Put{
			TableName: &t.name, Item: item,
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	}
}

func condition(w provider.Write) (*string, map[string]types.AttributeValue) {
	switch {
	case w.Unconditional:
		return nil, nil
	case w.IfVersion == 0:
		return aws.String("attribute_not_exists(pk)"), nil
	default:
		return aws.String("ver = :v"), map[string]types.AttributeValue{":v": number(w.IfVersion)}
	}
}

func key(partition, sort string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{"pk": text(partition), "sk": text(sort)}
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func binary(b []byte) types.AttributeValue {
	if b == nil {
		b = []byte{}
	}
	return &types.AttributeValueMemberB{Value: b}
}
