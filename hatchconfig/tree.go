package hatchconfig

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"
)

// node is a JSON value with its position in the source, so that a fault found after
// merging can be reported with its file and line.
type node struct {
	position Position
	object   bool
	array    bool
	members  []member
	indexes  map[string]int // into members, by name
	elements []*node
	literal  hujson.Literal
}

type member struct {
	name  string
	value *node
}

var syntaxError = regexp.MustCompile(`line (\d+), column \d+: (.*)`)

// parse parses JSON with comments. The node is nil after a syntax error.
func parse(file, text string) (*node, Faults) {
	value, err := hujson.Parse([]byte(text))
	if err != nil {
		return nil, Faults{syntaxFault(file, err)}
	}
	reader := treeReader{file: file, text: []byte(text)}
	root := reader.read(value, "")
	return root, reader.faults
}

func syntaxFault(file string, err error) Fault {
	fault := Fault{Position: Position{File: file, Line: 1}, Problem: err.Error()}
	if match := syntaxError.FindStringSubmatch(err.Error()); match != nil {
		fault.Line, _ = strconv.Atoi(match[1])
		fault.Problem = match[2]
	}
	return fault
}

type treeReader struct {
	file   string
	text   []byte
	faults Faults
	offset int // up to which newlines have been counted
	lines  int // newlines counted so far
}

// lineAt returns the line of an offset. Offsets must not decrease from call to call.
func (reader *treeReader) lineAt(offset int) int {
	reader.lines += bytes.Count(reader.text[reader.offset:offset], []byte("\n"))
	reader.offset = offset
	return 1 + reader.lines
}

func (reader *treeReader) read(value hujson.Value, path string) *node {
	position := Position{File: reader.file, Line: reader.lineAt(value.StartOffset)}
	switch value := value.Value.(type) {
	case *hujson.Object:
		return reader.readObject(value, position, path)
	case *hujson.Array:
		list := &node{position: position, array: true}
		for i, element := range value.Elements {
			list.elements = append(list.elements, reader.read(element, path+"["+strconv.Itoa(i)+"]"))
		}
		return list
	case hujson.Literal:
		return &node{position: position, literal: value}
	}
	return &node{position: position, literal: hujson.Literal("null")}
}

func (reader *treeReader) readObject(value *hujson.Object, position Position, path string) *node {
	object := &node{position: position, object: true}
	for _, entry := range value.Members {
		name := entry.Name.Value.(hujson.Literal).String()
		child := reader.read(entry.Value, joinPath(path, name))
		if object.member(name) != nil {
			reader.faults = append(reader.faults, Fault{child.position, joinPath(path, name), "is a duplicate field"})
			continue
		}
		object.addMember(name, child)
	}
	return object
}

// addMember appends a member, whose name must be new.
func (node *node) addMember(name string, value *node) {
	if node.indexes == nil {
		node.indexes = make(map[string]int)
	}
	node.indexes[name] = len(node.members)
	node.members = append(node.members, member{name, value})
}

// joinPath appends a field's name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// member returns the value of the member with the name, or nil.
func (node *node) member(name string) *node {
	index, ok := node.indexes[name]
	if !ok {
		return nil
	}
	return node.members[index].value
}

func (node *node) isNull() bool {
	return !node.object && !node.array && string(node.literal) == "null"
}

// typeDescription describes the type of the value in a fault.
func (node *node) typeDescription() string {
	switch {
	case node.object:
		return "an object"
	case node.array:
		return "a list"
	case node.isNull():
		return "null"
	}
	switch node.literal[0] {
	case '"':
		return "a string"
	case 't', 'f':
		return "a boolean"
	}
	return "the number " + string(node.literal)
}

// unmarshalLiteral decodes a literal with encoding/json.
func (node *node) unmarshalLiteral(target any) error {
	return json.Unmarshal(node.literal, target)
}

// mergeTrees returns the base with the overlay applied: objects merge by member,
// null removes a member, and any other value replaces it. It changes neither
// argument.
func mergeTrees(base, overlay *node) *node {
	if !base.object || !overlay.object {
		return overlay
	}
	merged := &node{position: base.position, object: true}
	for _, baseMember := range base.members {
		override := overlay.member(baseMember.name)
		switch {
		case override == nil:
			merged.addMember(baseMember.name, baseMember.value)
		case !override.isNull():
			merged.addMember(baseMember.name, mergeTrees(baseMember.value, override))
		}
	}
	for _, override := range overlay.members {
		if base.member(override.name) == nil && !override.value.isNull() {
			merged.addMember(override.name, override.value)
		}
	}
	return merged
}
