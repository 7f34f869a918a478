package kern

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	maxDepth = 64      // levels of nesting in a settings file
	maxFile  = 1 << 20 // bytes of a settings file
	maxShown = 60      // bytes of a value that are shown in a problem
)

// member is a name and its value in a JSON object.
type member struct {
	name string
	node *node
}

// node is a parsed JSON value. Unlike a map it keeps the order of the members
// and repeated names.
type node struct {
	members []member // of an object
	items   []*node  // of an array
	scalar  any      // string, json.Number, bool or nil
	kind    nodeKind
}

// nodeKind is the kind of a JSON value.
type nodeKind string

const (
	nodeObject nodeKind = "object"
	nodeArray  nodeKind = "array"
	nodeString nodeKind = "string"
	nodeNumber nodeKind = "number"
	nodeBool   nodeKind = "true or false"
	nodeNull   nodeKind = "null"
)

// parseNode parses a JSON document. A syntax error names its line and column.
func parseNode(data []byte) (*node, error) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, locate(data, err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return readNode(dec, 0)
}

// locate adds the line and column to a syntax error.
func locate(data []byte, err error) error {
	var syn *json.SyntaxError
	if !errors.As(err, &syn) {
		return err
	}
	at := min(int(syn.Offset), len(data))
	line := 1 + bytes.Count(data[:at], []byte("\n"))
	column := at - (bytes.LastIndexByte(data[:at], '\n') + 1)
	return errors.Newf("line %d, column %d: %s", line, column, err.Error())
}

func readNode(dec *json.Decoder, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errors.Newf("nested more than %d levels deep", maxDepth)
	}
	tok, err := dec.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	switch t := tok.(type) {
	case json.Delim:
		if t == '{' {
			return readObject(dec, depth)
		}
		return readArray(dec, depth)
	case string:
		return &node{kind: nodeString, scalar: t}, nil
	case json.Number:
		return &node{kind: nodeNumber, scalar: t}, nil
	case bool:
		return &node{kind: nodeBool, scalar: t}, nil
	default:
		return &node{kind: nodeNull}, nil
	}
}

func readObject(dec *json.Decoder, depth int) (*node, error) {
	n := &node{kind: nodeObject}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name, _ := tok.(string)
		value, err := readNode(dec, depth+1)
		if err != nil {
			return nil, err
		}
		n.members = append(n.members, member{name: name, node: value})
	}
	_, err := dec.Token()
	return n, err
}

func readArray(dec *json.Decoder, depth int) (*node, error) {
	n := &node{kind: nodeArray}
	for dec.More() {
		item, err := readNode(dec, depth+1)
		if err != nil {
			return nil, err
		}
		n.items = append(n.items, item)
	}
	_, err := dec.Token()
	return n, err
}

// plain returns the value as encoding/json would decode it.
func (n *node) plain() any {
	switch n.kind {
	case nodeObject:
		m := make(map[string]any, len(n.members))
		for _, mem := range n.members {
			m[mem.name] = mem.node.plain()
		}
		return m
	case nodeArray:
		list := make([]any, 0, len(n.items))
		for _, item := range n.items {
			list = append(list, item.plain())
		}
		return list
	default:
		return n.scalar
	}
}

// show returns the value as text for a problem: truncated if it is long, hidden
// if it is secret.
func (n *node) show(secret bool) string {
	text, err := json.Marshal(n.plain())
	if err != nil {
		return string(n.kind)
	}
	return showText(string(text), secret)
}

// showText truncates a long value and hides a secret one.
func showText(text string, secret bool) string {
	if secret {
		return fmt.Sprintf("(hidden, %d bytes)", len(text))
	}
	if len(text) > maxShown {
		return text[:maxShown] + "…"
	}
	return text
}
