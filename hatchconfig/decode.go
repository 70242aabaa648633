package hatchconfig

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// decoder decodes a tree into Go values and collects faults. Struct fields are
// named by their json tag; a field with the tag config:"required" must be present.
type decoder struct {
	faults    Faults
	positions map[string]Position // of each field that is present, by path
	file      string
}

func newDecoder(file string) *decoder {
	return &decoder{positions: make(map[string]Position), file: file}
}

func (decoder *decoder) addFault(position Position, path, format string, args ...any) {
	decoder.faults = append(decoder.faults, Fault{position, path, fmt.Sprintf(format, args...)})
}

// addFieldFault adds a fault at the position of the field or, if the field is
// missing, of the innermost present field around it.
func (decoder *decoder) addFieldFault(path, format string, args ...any) {
	decoder.addFault(decoder.positionOf(path), path, format, args...)
}

func (decoder *decoder) positionOf(path string) Position {
	for {
		if position, ok := decoder.positions[path]; ok {
			return position
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return Position{File: decoder.file, Line: 1}
		}
		path = path[:cut]
	}
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// decode stores the node's value in target.
func (decoder *decoder) decode(from *node, path string, target reflect.Value) {
	decoder.positions[path] = from.position
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
	if from.object || from.array || from.unmarshalLiteral(&text) != nil {
		decoder.addFault(from.position, path, "must be a string, not %s", from.typeDescription())
		return
	}
	if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		decoder.addFault(from.position, path, "%v", err)
	}
}

func (decoder *decoder) decodeStruct(from *node, path string, target reflect.Value) {
	if !from.object {
		decoder.addFault(from.position, path, "must be an object, not %s", from.typeDescription())
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
			decoder.decode(value, joinPath(path, name), target.Field(i))
		} else if field.Tag.Get("config") == "required" {
			decoder.addFault(from.position, joinPath(path, name), "is missing")
		}
	}
	for _, member := range from.members {
		if !known[member.name] {
			decoder.addFault(member.value.position, joinPath(path, member.name), "is an unknown field")
		}
	}
}

func (decoder *decoder) decodeMap(from *node, path string, target reflect.Value) {
	if !from.object {
		decoder.addFault(from.position, path, "must be an object, not %s", from.typeDescription())
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(from.members)))
	for _, member := range from.members {
		value := reflect.New(target.Type().Elem()).Elem()
		decoder.decode(member.value, joinPath(path, member.name), value)
		target.SetMapIndex(reflect.ValueOf(member.name).Convert(target.Type().Key()), value)
	}
}

func (decoder *decoder) decodeSlice(from *node, path string, target reflect.Value) {
	if !from.array {
		decoder.addFault(from.position, path, "must be a list, not %s", from.typeDescription())
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(from.elements), len(from.elements)))
	for i, element := range from.elements {
		decoder.decode(element, path+"["+strconv.Itoa(i)+"]", target.Index(i))
	}
}

func (decoder *decoder) decodeLiteral(from *node, path string, target reflect.Value) {
	if from.object || from.array || from.isNull() || from.unmarshalLiteral(target.Addr().Interface()) != nil {
		decoder.addFault(from.position, path, "must be %s, not %s", expectedType(target.Kind()), from.typeDescription())
	}
}

func expectedType(kind reflect.Kind) string {
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
