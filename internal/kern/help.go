package kern

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"text/tabwriter"
)

// SettingHelp is one setting with its default and what it does.
type SettingHelp struct {
	Field   string `json:"field"`
	Type    string `json:"type"`
	Default string `json:"default"`
	Help    string `json:"help"`
}

// ListSettings lists every setting of the kernel and of the given roles.
func ListSettings(roles []Role) []SettingHelp {
	list := helpOf("", reflect.ValueOf(DefaultConfig()).Elem())
	for _, r := range roles {
		list = append(list, helpOf("roles."+r.Name(), reflect.Indirect(reflect.ValueOf(r.Defaults())))...)
	}
	return list
}

func helpOf(path string, v reflect.Value) []SettingHelp {
	var list []SettingHelp
	for _, f := range fieldsOf(v.Type()) {
		at, fv := join(path, f.name), v.FieldByIndex(f.index)
		if fv.Kind() == reflect.Struct && len(fieldsOf(fv.Type())) > 0 {
			list = append(list, helpOf(at, fv)...)
			continue
		}
		list = append(list, SettingHelp{Field: at, Type: typeName(f.typ), Default: defaultText(fv), Help: f.help})
	}
	return list
}

// typeName names the JSON type of a setting.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "bool"
	case reflect.Map, reflect.Struct, reflect.Interface:
		return "object"
	case reflect.Slice:
		return "array of " + typeName(t.Elem())
	default:
		return "number"
	}
}

func defaultText(v reflect.Value) string {
	if v.IsZero() && v.Kind() != reflect.Bool && !v.CanInt() && !v.CanFloat() && !v.CanUint() {
		return "-"
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return "-"
	}
	return string(text)
}

// WriteSettings writes the settings as a table.
func WriteSettings(w io.Writer, list []SettingHelp) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "SETTING\tTYPE\tDEFAULT\tWHAT IT DOES")
	for _, h := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", h.Field, h.Type, h.Default, h.Help)
	}
	return tw.Flush()
}
