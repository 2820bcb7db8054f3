// Package seeds derives odd messages from whole ones, for tests and fuzz targets of
// decoders: another writer may have left fields out, or values of another type or range.
//
// # Usage
//
//	for _, data := range seeds.Odd(`{"port":80,"names":["a"]}`) {
//		decode(data) // must not panic
//	}
//	seeds.Add(f, `{"port":80,"names":["a"]}`) // to the corpus of a fuzz target
package seeds

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
)

// Depths of nested values. encoding/json refuses more than 10,000 levels.
const (
	allowedDepth = 9_000
	deepNesting  = 200_000
)

// oddValues replace each value of a message in turn.
var oddValues = []json.RawMessage{
	json.RawMessage(`null`), json.RawMessage(`true`), json.RawMessage(`{}`), json.RawMessage(`[]`), json.RawMessage(`""`), json.RawMessage(`"x"`),
	json.RawMessage(`0`), json.RawMessage(`-1`), json.RawMessage(`0.5`), json.RawMessage(`9223372036854775807`), json.RawMessage(`-9223372036854775808`),
	json.RawMessage(`18446744073709551615`), json.RawMessage(`9223372036854776`), json.RawMessage(`1e99`), json.RawMessage(`1e999`),
	json.RawMessage(`"a b\n@c"`), json.RawMessage(`"10.0.0.1:0"`), json.RawMessage(`"10.0.0.1:70000"`),
	Nested(allowedDepth),
}

// Nested returns arrays within each other to a depth.
func Nested(depth int) json.RawMessage {
	return json.RawMessage(strings.Repeat("[", depth) + strings.Repeat("]", depth))
}

// Odd returns variants of a message in JSON, each with one value left out or replaced,
// and some that aren't JSON. The message must be valid.
func Odd(whole string) [][]byte {
	var message any
	if err := json.Unmarshal([]byte(whole), &message); err != nil {
		panic(err) // a fault of the test
	}
	all := [][]byte{[]byte(whole), {}, []byte(whole[:len(whole)/2]), []byte("\xff\x00"), []byte(`null`), []byte(whole + whole), Nested(deepNesting)}
	vary(message, func(variant any) {
		data, err := json.Marshal(variant)
		if err != nil {
			panic(err) // a fault of this package
		}
		all = append(all, data)
	})
	return all
}

// maxSeed is the longest seed of a fuzz target, in bytes: mutations of long ones are slow.
const maxSeed = 2 << 10

// Add adds the short variants of a message to the corpus of a fuzz target.
func Add(f *testing.F, whole string) {
	for _, data := range Odd(whole) {
		if len(data) <= maxSeed {
			f.Add(data)
		}
	}
}

// vary calls emit with variants of a value.
func vary(value any, emit func(any)) {
	for _, odd := range oddValues {
		emit(odd)
	}
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			other := maps.Clone(v)
			delete(other, key)
			emit(other)
			vary(v[key], func(variant any) {
				other := maps.Clone(v)
				other[key] = variant
				emit(other)
			})
		}
	case []any:
		for i := range v {
			vary(v[i], func(variant any) {
				other := slices.Clone(v)
				other[i] = variant
				emit(other)
			})
		}
	}
}
