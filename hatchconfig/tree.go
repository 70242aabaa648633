package hatchconfig

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"
)

// node is a JSON value that remembers where it was written, so that a fault
// found after merging still names the file and line.
type node struct {
	at       Position
	object   bool
	array    bool
	members  []member
	places   map[string]int // of the members, by name
	elements []*node
	literal  hujson.Literal
}

type member struct {
	name  string
	value *node
}

var syntaxError = regexp.MustCompile(`line (\d+), column \d+: (.*)`)

// parse reads JSON with comments.
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
	offset int // up to which lines have been counted
	lines  int
}

// lineAt returns the line of an offset; offsets come in rising order.
func (reader *treeReader) lineAt(offset int) int {
	reader.lines += bytes.Count(reader.text[reader.offset:offset], []byte("\n"))
	reader.offset = offset
	return 1 + reader.lines
}

func (reader *treeReader) read(value hujson.Value, path string) *node {
	at := Position{File: reader.file, Line: reader.lineAt(value.StartOffset)}
	switch value := value.Value.(type) {
	case *hujson.Object:
		return reader.readObject(value, at, path)
	case *hujson.Array:
		list := &node{at: at, array: true}
		for i, element := range value.Elements {
			list.elements = append(list.elements, reader.read(element, path+"["+strconv.Itoa(i)+"]"))
		}
		return list
	case hujson.Literal:
		return &node{at: at, literal: value}
	}
	return &node{at: at, literal: hujson.Literal("null")}
}

func (reader *treeReader) readObject(value *hujson.Object, at Position, path string) *node {
	object := &node{at: at, object: true}
	for _, entry := range value.Members {
		name := entry.Name.Value.(hujson.Literal).String()
		child := reader.read(entry.Value, join(path, name))
		if object.member(name) != nil {
			reader.faults = append(reader.faults, Fault{child.at, join(path, name), "is given twice"})
			continue
		}
		object.add(name, child)
	}
	return object
}

// add appends a member of a new name.
func (node *node) add(name string, value *node) {
	if node.places == nil {
		node.places = make(map[string]int)
	}
	node.places[name] = len(node.members)
	node.members = append(node.members, member{name, value})
}

// join appends a field's name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (node *node) member(name string) *node {
	place, ok := node.places[name]
	if !ok {
		return nil
	}
	return node.members[place].value
}

func (node *node) null() bool {
	return !node.object && !node.array && string(node.literal) == "null"
}

// describe names the type of the value for a message.
func (node *node) describe() string {
	switch {
	case node.object:
		return "an object"
	case node.array:
		return "a list"
	case node.null():
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

// into decodes a literal by the rules of encoding/json.
func (node *node) into(target any) error {
	return json.Unmarshal(node.literal, target)
}

// merge lays the overlay over the base: objects merge by member, null removes
// a member, anything else replaces it. Neither argument is changed.
func merge(base, overlay *node) *node {
	if !base.object || !overlay.object {
		return overlay
	}
	merged := &node{at: base.at, object: true}
	for _, below := range base.members {
		above := overlay.member(below.name)
		switch {
		case above == nil:
			merged.add(below.name, below.value)
		case !above.null():
			merged.add(below.name, merge(below.value, above))
		}
	}
	for _, above := range overlay.members {
		if base.member(above.name) == nil && !above.value.null() {
			merged.add(above.name, above.value)
		}
	}
	return merged
}
