package tomldoc

import (
	"reflect"
	"sort"
	"strings"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

// fieldByTag returns the field of the struct v whose tag "toml" is name, and
// whether there is one.
func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("toml"); tag != "" && tag == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// fieldNames returns the TOML keys of a struct type, for messages.
func fieldNames(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("toml"); tag != "" {
			names = append(names, tag)
		}
	}
	return strings.Join(names, ", ")
}

// bindStruct sets the fields of the struct v to the values of tree, the table at
// the path. It goes through the keys in the order of their lines, so that problems
// are found in this order.
func (d *Document) bindStruct(path string, v reflect.Value, tree map[string]any) {
	keys := make([]string, 0, len(tree))
	for k := range tree {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := d.Line(joinKey(path, keys[i])), d.Line(joinKey(path, keys[j]))
		if a != b {
			return a < b
		}
		return keys[i] < keys[j]
	})
	for _, k := range keys {
		key := joinKey(path, k)
		field, ok := fieldByTag(v, k)
		if !ok {
			d.Add(key, "unknown key; the keys of this table are: %s", fieldNames(v.Type()))
			continue
		}
		d.bindValue(key, field, tree[k])
	}
}

// bindValue sets v to the value at the path, or adds a problem if the types do not
// match.
func (d *Document) bindValue(path string, v reflect.Value, value any) {
	if v.Type() == durationType {
		d.bindDuration(path, v, value)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			d.Add(path, "must be a table, not %s", describeType(value))
			return
		}
		d.bindStruct(path, v, table)
	case reflect.Slice:
		d.bindSlice(path, v, value)
	default:
		d.bindScalar(path, v, value)
	}
}

func (d *Document) bindSlice(path string, v reflect.Value, value any) {
	list, ok := value.([]any)
	if !ok {
		d.Add(path, "must be an array, not %s", describeType(value))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list), len(list))
	for i := range list {
		d.bindValue(elementKey(path, i), out.Index(i), list[i])
	}
	v.Set(out)
}

func (d *Document) bindDuration(path string, v reflect.Value, value any) {
	text, ok := value.(string)
	if !ok {
		d.Add(path, `must be a duration with its unit in quotes, such as "420ms" or "30s", not %s`, describeType(value))
		return
	}
	got, err := time.ParseDuration(text)
	if err != nil {
		d.Add(path, `%q is not a duration; write a number and a unit, such as "420ms" or "30s"`, text)
		return
	}
	v.SetInt(int64(got))
}

func (d *Document) bindScalar(path string, v reflect.Value, value any) {
	switch got := value.(type) {
	case string:
		if v.Kind() == reflect.String {
			v.SetString(got)
			return
		}
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(got)
			return
		}
	case float64:
		if v.CanFloat() {
			v.SetFloat(got)
			return
		}
	case int64:
		d.bindInteger(path, v, got)
		return
	}
	d.Add(path, "must be %s, not %s", expectedType(v.Kind()), describeType(value))
}

func (d *Document) bindInteger(path string, v reflect.Value, n int64) {
	switch {
	case v.CanInt() && !v.OverflowInt(n):
		v.SetInt(n)
	case v.CanUint() && n >= 0 && !v.OverflowUint(uint64(n)):
		v.SetUint(uint64(n))
	case v.CanFloat():
		v.SetFloat(float64(n))
	case v.CanInt() || v.CanUint():
		d.Add(path, "%d is out of range", n)
	default:
		d.Add(path, "must be %s, not an integer", expectedType(v.Kind()))
	}
}

// expectedType returns the type that a field of the kind needs, for messages.
func expectedType(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}

// describeType returns the TOML type of a decoded value, for messages.
func describeType(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a fraction"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}
