package standin

// attribute is DynamoDB's AttributeValue, for the types in use.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

// item is a row in DynamoDB's form.
type item struct {
	PK  attribute       `json:"pk"`
	SK  attribute       `json:"sk"`
	Ver *attribute      `json:"ver,omitempty"`
	Val *valueAttribute `json:"val,omitempty"`
}

// valueAttribute is a binary attribute that may be empty.
type valueAttribute struct {
	B []byte `json:"B"`
}

type attributes map[string]attribute

func (a attributes) stringValue(name string) string {
	if v := a[name].S; v != nil {
		return *v
	}
	return ""
}

func (a attributes) numberValue(name string) string {
	if v := a[name].N; v != nil {
		return *v
	}
	return ""
}

type getItemInput struct {
	TableName      string
	Key            attributes
	ConsistentRead bool
}

type getItemOutput struct {
	Item *item `json:",omitempty"`
}

type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	ExpressionAttributeValues attributes
	Limit                     int
	ConsistentRead            bool
}

type queryOutput struct {
	Items            []item
	Count            int
	ScannedCount     int
	LastEvaluatedKey *item `json:",omitempty"`
}

type transactInput struct {
	ClientRequestToken string
	TransactItems      []transactItem
}

type transactItem struct {
	Put            *writeInput
	Update         *writeInput
	Delete         *writeInput
	ConditionCheck *writeInput
}

// writeInput unites the fields of the four kinds of transaction items.
type writeInput struct {
	TableName                 string
	Item                      attributes
	Key                       attributes
	UpdateExpression          string
	ConditionExpression       string
	ExpressionAttributeValues attributes
}

type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

type tableError struct {
	Type                string               `json:"__type"`
	Message             string               `json:"message"`
	CancellationReasons []cancellationReason `json:",omitempty"`
}
