package kern

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"text/tabwriter"
)

// SettingHelp describes one setting: its type, its default and what it does.
type SettingHelp struct {
	Field   string `json:"field"`
	Type    string `json:"type"`
	Default string `json:"default"`
	Help    string `json:"help"`
}

// ListSettings returns every setting of the daemon and of the given roles.
func ListSettings(roles []Role) []SettingHelp {
	list := helpBelow("", reflect.ValueOf(DefaultConfig()).Elem())
	for _, r := range roles {
		list = append(list, helpBelow("roles."+r.Name(), reflect.Indirect(reflect.ValueOf(r.Defaults())))...)
	}
	return list
}

func helpBelow(path string, v reflect.Value) []SettingHelp {
	var list []SettingHelp
	for _, f := range fieldsOf(v.Type()) {
		fieldPath, value := joinPath(path, f.name), v.FieldByIndex(f.index)
		if value.Kind() == reflect.Struct && len(fieldsOf(value.Type())) > 0 {
			list = append(list, helpBelow(fieldPath, value)...)
			continue
		}
		list = append(list, SettingHelp{Field: fieldPath, Type: jsonType(f.typ), Default: defaultText(value), Help: f.help})
	}
	return list
}

// jsonType returns the JSON type of a setting.
func jsonType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return jsonType(t.Elem())
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "bool"
	case reflect.Map, reflect.Struct, reflect.Interface:
		return "object"
	case reflect.Slice:
		return "array of " + jsonType(t.Elem())
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
