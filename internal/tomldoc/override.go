package tomldoc

import (
	"reflect"
	"strconv"
	"strings"
	"time"
)

// SetField sets the field with the dotted key in the struct that v points to. text
// is its value as a flag or an environment variable gives it; commas separate the
// elements of a list of strings. The problem, if any, gives source as the file's
// name.
func SetField(v any, source, key, text string) *Problem {
	field := reflect.ValueOf(v).Elem()
	for part := range strings.SplitSeq(key, ".") {
		var ok bool
		if field.Kind() == reflect.Struct {
			field, ok = fieldByTag(field, part)
		}
		if !ok {
			return &Problem{File: source, Key: key, Reason: "unknown key"}
		}
	}
	if reason := setFromText(field, text); reason != "" {
		return &Problem{File: source, Key: key, Reason: reason}
	}
	return nil
}

// setFromText sets a field to the value that text stands for. It returns the
// reason why text is not a value of the field's type, or "".
func setFromText(field reflect.Value, text string) string {
	if field.Type() == durationType {
		got, err := time.ParseDuration(text)
		if err != nil {
			return strconv.Quote(text) + ` is not a duration; write a number and a unit, such as "420ms" or "30s"`
		}
		field.SetInt(int64(got))
		return ""
	}
	var err error
	switch {
	case field.Kind() == reflect.String:
		field.SetString(text)
	case field.Kind() == reflect.Bool:
		var b bool
		b, err = strconv.ParseBool(text)
		field.SetBool(b)
	case field.CanInt():
		var n int64
		n, err = strconv.ParseInt(text, 10, field.Type().Bits())
		field.SetInt(n)
	case field.CanUint():
		var n uint64
		n, err = strconv.ParseUint(text, 10, field.Type().Bits())
		field.SetUint(n)
	case field.CanFloat():
		var x float64
		x, err = strconv.ParseFloat(text, field.Type().Bits())
		field.SetFloat(x)
	case field.Type() == reflect.TypeFor[[]string]():
		field.Set(reflect.ValueOf(strings.Split(text, ",")))
	default:
		return "cannot be set by a flag or an environment variable; set it in the settings file"
	}
	if err != nil {
		return strconv.Quote(text) + " must be " + expectedType(field.Kind())
	}
	return ""
}

// Keys returns the dotted keys of all fields of the struct that v points to, with
// those of nested structs in place of the structs.
func Keys(v any) []string { return structKeys("", reflect.TypeOf(v).Elem()) }

// structKeys returns the keys of the struct type t, each after prefix.
func structKeys(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("toml")
		if tag == "" {
			continue
		}
		path := joinKey(prefix, tag)
		if fieldType := t.Field(i).Type; fieldType.Kind() == reflect.Struct {
			out = append(out, structKeys(path, fieldType)...)
			continue
		}
		out = append(out, path)
	}
	return out
}
