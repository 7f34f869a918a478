package kern

import (
	"reflect"
	"strings"
)

// field describes one setting, as declared by a struct field.
type field struct {
	name         string // in JSON
	help         string
	secret       bool
	isListenAddr bool // whether it is an address to listen at
	index        []int
	typ          reflect.Type
}

// fieldsOf returns the settings that a struct declares, including those of
// embedded structs. A setting is an address to listen at if its name ends in
// "listen" or if it is tagged listen:"true".
func fieldsOf(t reflect.Type) []field {
	var list []field
	for _, sf := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if !sf.IsExported() || name == "-" || (sf.Anonymous && name == "") {
			continue
		}
		if name == "" {
			name = sf.Name
		}
		list = append(list, field{
			name:         name,
			help:         sf.Tag.Get("help"),
			secret:       sf.Tag.Get("secret") == "true",
			isListenAddr: sf.Tag.Get("listen") == "true" || strings.HasSuffix(name, "listen"),
			index:        sf.Index,
			typ:          sf.Type,
		})
	}
	return list
}

func findField(fields []field, name string) (field, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func fieldNames(fields []field) []string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.name)
	}
	return list
}
