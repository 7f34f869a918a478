package kern

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// decoder decodes parsed JSON into Go values and collects every problem instead
// of stopping at the first.
type decoder struct {
	problems []Problem
}

// Decode decodes a JSON document into the struct that target points to. It returns
// every problem at once: unknown fields, repeated fields and wrong types, each
// with its path. The error is set if data isn't valid JSON.
func Decode(data []byte, target any) ([]Problem, error) {
	root, err := parseNode(data)
	if err != nil {
		return nil, err
	}
	d := &decoder{}
	d.fill("", root, reflect.ValueOf(target).Elem(), false)
	return d.problems, nil
}

func (d *decoder) addProblem(path string, n *jsonNode, secret bool, want string) {
	d.problems = append(d.problems, Problem{Field: path, Value: n.display(secret), Want: want})
}

func (d *decoder) fill(path string, n *jsonNode, v reflect.Value, secret bool) {
	if d.fillCustom(path, n, v, secret) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		d.fillPointer(path, n, v, secret)
	case reflect.Struct:
		d.fillStruct(path, n, v)
	case reflect.Map:
		d.fillMap(path, n, v, secret)
	case reflect.Slice:
		d.fillSlice(path, n, v, secret)
	case reflect.Interface:
		if value := n.value(); value != nil {
			v.Set(reflect.ValueOf(value))
		}
	default:
		d.fillScalar(path, n, v, secret)
	}
}

// fillCustom decodes types that implement json.Unmarshaler or
// encoding.TextUnmarshaler, and reports whether v is of such a type.
func (d *decoder) fillCustom(path string, n *jsonNode, v reflect.Value, secret bool) bool {
	if !v.CanAddr() {
		return false
	}
	target := v.Addr().Interface()
	_, isJSON := target.(json.Unmarshaler)
	_, isText := target.(encoding.TextUnmarshaler)
	if !isJSON && !isText {
		return false
	}
	text, err := json.Marshal(n.value())
	if err == nil {
		err = json.Unmarshal(text, target)
	}
	if err != nil {
		d.addProblem(path, n, secret, err.Error())
	}
	return true
}

func (d *decoder) fillPointer(path string, n *jsonNode, v reflect.Value, secret bool) {
	if n.kind == nodeNull {
		v.SetZero()
		return
	}
	if v.IsNil() {
		v.Set(reflect.New(v.Type().Elem()))
	}
	d.fill(path, n, v.Elem(), secret)
}

func (d *decoder) fillStruct(path string, n *jsonNode, v reflect.Value) {
	if n.kind != nodeObject {
		d.addProblem(path, n, false, "an object")
		return
	}
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	for _, m := range n.members {
		memberPath := joinPath(path, m.name)
		f, known := findField(fields, m.name)
		switch {
		case !known:
			d.addProblem(memberPath, m.node, suggestsSecret(m.name), "one of the fields "+strings.Join(fieldNames(fields), ", "))
		case seen[m.name]:
			d.addProblem(memberPath, m.node, f.secret, "one value, but the field is repeated")
		default:
			seen[m.name] = true
			d.fill(memberPath, m.node, v.FieldByIndex(f.index), f.secret)
		}
	}
}

func (d *decoder) fillMap(path string, n *jsonNode, v reflect.Value, secret bool) {
	if n.kind != nodeObject {
		d.addProblem(path, n, secret, "an object")
		return
	}
	out := reflect.MakeMapWithSize(v.Type(), len(n.members))
	for _, m := range n.members {
		memberPath := joinPath(path, m.name)
		key := reflect.ValueOf(m.name).Convert(v.Type().Key())
		if out.MapIndex(key).IsValid() {
			d.addProblem(memberPath, m.node, secret, "one value, but the field is repeated")
			continue
		}
		elem := reflect.New(v.Type().Elem()).Elem()
		d.fill(memberPath, m.node, elem, secret)
		out.SetMapIndex(key, elem)
	}
	v.Set(out)
}

func (d *decoder) fillSlice(path string, n *jsonNode, v reflect.Value, secret bool) {
	if n.kind != nodeArray {
		d.addProblem(path, n, secret, "an array")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		d.fill(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i), secret)
	}
	v.Set(out)
}

func (d *decoder) fillScalar(path string, n *jsonNode, v reflect.Value, secret bool) {
	text, err := json.Marshal(n.scalar)
	if err == nil && n.kind != nodeObject && n.kind != nodeArray && n.kind != nodeNull {
		if json.Unmarshal(text, v.Addr().Interface()) == nil {
			return
		}
	}
	d.addProblem(path, n, secret, describeKind(v.Kind()))
}

// describeKind describes the JSON values that a kind of Go value accepts.
func describeKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number, 0 or more"
	default:
		return "a whole number"
	}
}

// joinPath appends a name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// suggestsSecret reports whether the name of an unknown field suggests a secret.
func suggestsSecret(name string) bool {
	name = strings.ToLower(name)
	return strings.Contains(name, "key") || strings.Contains(name, "secret") || strings.Contains(name, "token")
}
