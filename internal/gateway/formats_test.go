package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/system/lease"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

// updateFormats writes samples of this release's formats into a folder of testdata/formats. It is also how those of
// former releases were made: by this file in their trees.
var updateFormats = flag.String("update-formats", "", "write samples of all formats under this release's name")

// format is one format that outlives a process or passes between two.
type format struct {
	name   string
	value  any // pointer to a zero value
	encode func(any) ([]byte, error)
	decode func([]byte, any) error
}

// formats returns all formats with zero values.
func formats() []format {
	var out []format
	for _, value := range []any{
		&message{}, &exchange.StateUpdate{}, &forwardedRequest{}, &forwardedPiece{}, &exchange.Checkpoint{}, &streamversion.Row{}, &streamversion.SavedRow{},
	} {
		out = append(out, format{formatName(value) + ".cbor", value, codec.Encode, codec.Decode})
	}
	for _, value := range []any{&exchange.Member{}, &lease.Row{}, &usageRow{}, &restoreTimeRow{}, &clockOrigin{}} {
		out = append(out, format{formatName(value) + ".json", value, json.Marshal, json.Unmarshal})
	}
	return out
}

func formatName(value any) string {
	return strings.ToLower(strings.NewReplacer("*", "", ".", "-").Replace(fmt.Sprintf("%T", value)))
}

// fill sets all exported fields of a value, of its parts and of one element of each list to values that differ.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), next)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(element, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(1 + *next%100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(1 + *next%100))
	default:
		panic("no sample of " + v.Type().String())
	}
}

// TestFormats_WriteSamples writes samples if it is told to.
func TestFormats_WriteSamples(t *testing.T) {
	if *updateFormats == "" {
		return
	}
	folder := filepath.Join("testdata", "formats", *updateFormats)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, f := range formats() {
		next := 0
		fill(reflect.ValueOf(f.value).Elem(), &next)
		data, err := f.encode(f.value)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, f.name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFormats_FormerReleasesAreRead: each field that a former release wrote is read, under its number or name and with
// its type.
func TestFormats_FormerReleasesAreRead(t *testing.T) {
	releases, err := filepath.Glob(filepath.Join("testdata", "formats", "*"))
	if err != nil || len(releases) < 3 {
		t.Fatalf("samples of %d releases, want three at least (%v)", len(releases), err)
	}
	for _, release := range releases {
		for _, f := range formats() {
			t.Run(filepath.Base(release)+"/"+f.name, func(t *testing.T) {
				data, err := os.ReadFile(filepath.Join(release, f.name))
				if errors.Is(err, fs.ErrNotExist) {
					t.Skip("this release did not have the format")
				}
				if err != nil {
					t.Fatal(err)
				}
				if err := f.decode(data, f.value); err != nil {
					t.Fatal(err)
				}
				again, err := f.encode(f.value)
				if err != nil {
					t.Fatal(err)
				}
				checkContains(t, f, f.name, generic(t, f, data), generic(t, f, again))
			})
		}
	}
}

// generic decodes data without a type.
func generic(t *testing.T, f format, data []byte) (out any) {
	t.Helper()
	if err := f.decode(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// checkContains checks that all of a former value is in the present one, which may have more fields.
func checkContains(t *testing.T, f format, path string, former, present any) {
	t.Helper()
	a, b := reflect.ValueOf(former), reflect.ValueOf(present)
	if !a.IsValid() || !b.IsValid() || a.Type() != b.Type() {
		t.Errorf("%s: %v is read as %v", path, former, present)
		return
	}
	switch {
	case a.Kind() == reflect.Map:
		for _, key := range a.MapKeys() {
			element := b.MapIndex(key)
			if !element.IsValid() {
				t.Errorf("%s: field %v is not read", path, key)
				continue
			}
			checkContains(t, f, fmt.Sprintf("%s/%v", path, key), a.MapIndex(key).Interface(), element.Interface())
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Interface:
		if a.Len() != b.Len() {
			t.Errorf("%s: %d elements are read as %d", path, a.Len(), b.Len())
			return
		}
		for i := range a.Len() {
			checkContains(t, f, fmt.Sprintf("%s[%d]", path, i), a.Index(i).Interface(), b.Index(i).Interface())
		}
	case !reflect.DeepEqual(former, present):
		t.Errorf("%s: %v is read as %v", path, former, present)
	}
}

// FuzzReceive gives messages and state updates of any bytes to a daemon's core, which must neither panic nor
// take without bound.
func FuzzReceive(f *testing.F) {
	for _, name := range []string{"gateway-message.cbor", "exchange-stateupdate.cbor"} {
		samples, err := filepath.Glob(filepath.Join("testdata", "formats", "*", name))
		if err != nil {
			f.Fatal(err)
		}
		for _, sample := range samples {
			data, err := os.ReadFile(sample)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
			f.Add(data[:len(data)/2])
			f.Add(bytes.ReplaceAll(data, []byte("text-"), []byte("n1234")))
		}
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		now := time.Unix(1_700_000_000, 0)
		core := exchange.New(exchange.Config{Self: exchange.Member{Name: "self"}, Started: now, Rand: newRand()})
		var m message
		if codec.Decode(data, &m) == nil && m.Notice != nil {
			core.ReceiveNotice(now, entity.InstanceID("other"), m.Notice)
		}
		var update exchange.StateUpdate
		if codec.Decode(data, &update) == nil {
			core.ReceiveUpdate(now, &update, m.Ack)
			core.ReceiveUpdate(now.Add(time.Second), &update, m.Ack)
		}
		core.Tick(now.Add(2 * time.Second))
	})
}
