package kern

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	maxDepth        = 64      // levels of nesting in a settings file
	maxFileBytes    = 1 << 20 // bytes of a settings file
	maxDisplayBytes = 60      // bytes of a value that are shown in a problem
)

// member is a name and its value in a JSON object.
type member struct {
	name string
	node *jsonNode
}

// jsonNode is a parsed JSON value. Unlike a map it keeps the order of the members
// and repeated names.
type jsonNode struct {
	members []member    // of an object
	items   []*jsonNode // of an array
	scalar  any         // string, json.Number, bool or nil
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
func parseNode(data []byte) (*jsonNode, error) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, withPosition(data, err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return readNode(dec, 0)
}

// withPosition adds the line and column to a syntax error.
func withPosition(data []byte, err error) error {
	var syntaxErr *json.SyntaxError
	if !errors.As(err, &syntaxErr) {
		return err
	}
	offset := min(int(syntaxErr.Offset), len(data))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	column := offset - (bytes.LastIndexByte(data[:offset], '\n') + 1)
	return errors.Newf("line %d, column %d: %s", line, column, err.Error())
}

func readNode(dec *json.Decoder, depth int) (*jsonNode, error) {
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
		return &jsonNode{kind: nodeString, scalar: t}, nil
	case json.Number:
		return &jsonNode{kind: nodeNumber, scalar: t}, nil
	case bool:
		return &jsonNode{kind: nodeBool, scalar: t}, nil
	default:
		return &jsonNode{kind: nodeNull}, nil
	}
}

func readObject(dec *json.Decoder, depth int) (*jsonNode, error) {
	n := &jsonNode{kind: nodeObject}
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

func readArray(dec *json.Decoder, depth int) (*jsonNode, error) {
	n := &jsonNode{kind: nodeArray}
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

// value returns the value as encoding/json would decode it.
func (n *jsonNode) value() any {
	switch n.kind {
	case nodeObject:
		m := make(map[string]any, len(n.members))
		for _, mem := range n.members {
			m[mem.name] = mem.node.value()
		}
		return m
	case nodeArray:
		list := make([]any, 0, len(n.items))
		for _, item := range n.items {
			list = append(list, item.value())
		}
		return list
	default:
		return n.scalar
	}
}

// display returns the value as text for a problem: truncated if it is long, hidden
// if it is secret.
func (n *jsonNode) display(secret bool) string {
	text, err := json.Marshal(n.value())
	if err != nil {
		return string(n.kind)
	}
	return displayText(string(text), secret)
}

// displayText truncates a long value and hides a secret one.
func displayText(text string, secret bool) string {
	if secret {
		return fmt.Sprintf("(hidden, %d bytes)", len(text))
	}
	if len(text) > maxDisplayBytes {
		return text[:maxDisplayBytes] + "…"
	}
	return text
}
