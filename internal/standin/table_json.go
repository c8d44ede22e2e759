package standin

// attribute is DynamoDB's AttributeValue, restricted to strings, numbers and binaries.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

// item is a row of the table in DynamoDB's JSON form.
type item struct {
	PK  attribute       `json:"pk"`
	SK  attribute       `json:"sk"`
	Ver *attribute      `json:"ver,omitempty"`
	Val *valueAttribute `json:"val,omitempty"`
}

// valueAttribute is a binary attribute that is encoded even when it is empty.
type valueAttribute struct {
	B []byte `json:"B"`
}

type attributes map[string]attribute

// stringValue returns a string attribute, or an empty string if there is none.
func (a attributes) stringValue(name string) string {
	if v := a[name].S; v != nil {
		return *v
	}
	return ""
}

// numberValue returns a number attribute in its decimal form, or an empty string if
// there is none.
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

// writeInput has the fields of all four kinds of transaction items: Put, Update, Delete
// and ConditionCheck.
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
