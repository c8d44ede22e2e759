package tomldoc

import (
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Set gives the field with the dotted key a value written as text, as it comes
// from a flag or the environment. Lists of strings are separated by commas.
// A fault is reported under the name of its source.
func Set(v any, source, key, text string) *Problem {
	field := reflect.ValueOf(v).Elem()
	for part := range strings.SplitSeq(key, ".") {
		var ok bool
		if field.Kind() == reflect.Struct {
			field, ok = fieldOf(field, part)
		}
		if !ok {
			return &Problem{File: source, Key: key, Reason: "unknown key"}
		}
	}
	if reason := setText(field, text); reason != "" {
		return &Problem{File: source, Key: key, Reason: reason}
	}
	return nil
}

// setText returns the reason why the text does not fit, or "".
func setText(field reflect.Value, text string) string {
	if field.Type() == durationType {
		got, err := time.ParseDuration(text)
		if err != nil {
			return strconv.Quote(text) + ` is not a duration, such as "420ms"`
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
		return "cannot be set here; write it into the settings file"
	}
	if err != nil {
		return strconv.Quote(text) + " must be " + wanted(field.Kind())
	}
	return ""
}

// Keys returns the dotted keys of all fields of the struct that v points to.
func Keys(v any) []string { return keysOf("", reflect.TypeOf(v).Elem()) }

func keysOf(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("toml")
		if tag == "" {
			continue
		}
		path := join(prefix, tag)
		if ft := t.Field(i).Type; ft.Kind() == reflect.Struct {
			out = append(out, keysOf(path, ft)...)
			continue
		}
		out = append(out, path)
	}
	return out
}
