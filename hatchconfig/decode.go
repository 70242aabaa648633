package hatchconfig

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// decoder fills Go values from a tree and collects faults on the way. Fields
// are named by their json tag; one with the tag config:"required" must be
// given.
type decoder struct {
	faults    Faults
	positions map[string]Position // of each field that was given, by path
	file      string
}

func newDecoder(file string) *decoder {
	return &decoder{positions: make(map[string]Position), file: file}
}

func (decoder *decoder) fault(at Position, path, format string, args ...any) {
	decoder.faults = append(decoder.faults, Fault{at, path, fmt.Sprintf(format, args...)})
}

// faultAt reports a fault at the field, or at the nearest field around it.
func (decoder *decoder) faultAt(path, format string, args ...any) {
	decoder.fault(decoder.position(path), path, format, args...)
}

func (decoder *decoder) position(path string) Position {
	for {
		if at, ok := decoder.positions[path]; ok {
			return at
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return Position{File: decoder.file, Line: 1}
		}
		path = path[:cut]
	}
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// decode fills target from the node.
func (decoder *decoder) decode(from *node, path string, target reflect.Value) {
	decoder.positions[path] = from.at
	if target.Addr().Type().Implements(textUnmarshaler) {
		decoder.decodeText(from, path, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		decoder.decodeStruct(from, path, target)
	case reflect.Map:
		decoder.decodeMap(from, path, target)
	case reflect.Slice:
		decoder.decodeSlice(from, path, target)
	default:
		decoder.decodeLiteral(from, path, target)
	}
}

func (decoder *decoder) decodeText(from *node, path string, target reflect.Value) {
	var text string
	if from.object || from.array || from.into(&text) != nil {
		decoder.fault(from.at, path, "wants a string, not %s", from.describe())
		return
	}
	if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		decoder.fault(from.at, path, "%v", err)
	}
}

func (decoder *decoder) decodeStruct(from *node, path string, target reflect.Value) {
	if !from.object {
		decoder.fault(from.at, path, "wants an object, not %s", from.describe())
		return
	}
	known := make(map[string]bool)
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name := field.Tag.Get("json")
		if name == "" || name == "-" {
			continue
		}
		known[name] = true
		value := from.member(name)
		if value != nil {
			decoder.decode(value, join(path, name), target.Field(i))
		} else if field.Tag.Get("config") == "required" {
			decoder.fault(from.at, join(path, name), "is missing")
		}
	}
	for _, member := range from.members {
		if !known[member.name] {
			decoder.fault(member.value.at, join(path, member.name), "is not a known field")
		}
	}
}

func (decoder *decoder) decodeMap(from *node, path string, target reflect.Value) {
	if !from.object {
		decoder.fault(from.at, path, "wants an object, not %s", from.describe())
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(from.members)))
	for _, member := range from.members {
		value := reflect.New(target.Type().Elem()).Elem()
		decoder.decode(member.value, join(path, member.name), value)
		target.SetMapIndex(reflect.ValueOf(member.name).Convert(target.Type().Key()), value)
	}
}

func (decoder *decoder) decodeSlice(from *node, path string, target reflect.Value) {
	if !from.array {
		decoder.fault(from.at, path, "wants a list, not %s", from.describe())
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(from.elements), len(from.elements)))
	for i, element := range from.elements {
		decoder.decode(element, path+"["+strconv.Itoa(i)+"]", target.Index(i))
	}
}

func (decoder *decoder) decodeLiteral(from *node, path string, target reflect.Value) {
	if from.object || from.array || from.null() || from.into(target.Addr().Interface()) != nil {
		decoder.fault(from.at, path, "wants %s, not %s", wanted(target.Kind()), from.describe())
	}
}

func wanted(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
