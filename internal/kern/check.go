package kern

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// MinKeyBytes is the shortest key that is accepted, in bytes.
const MinKeyBytes = 16

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker returns the validator with the kernel's own rules: name, ipport and
// hexkey.
var checker = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(sf reflect.StructField) string {
		name, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		return name
	})
	must(v.RegisterValidation("name", func(f validator.FieldLevel) bool {
		return nameForm.MatchString(f.Field().String())
	}))
	must(v.RegisterValidation("ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	}))
	must(v.RegisterValidation("hexkey", func(f validator.FieldLevel) bool {
		b, err := hex.DecodeString(f.Field().String())
		return err == nil && len(b) >= MinKeyBytes
	}))
	return v
})

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// CheckStruct applies the validate tags of a settings struct and returns every
// problem, with paths made of JSON names. Besides the validator's own tags it
// knows name, ipport (an IP address with a port) and hexkey. Fields tagged
// secret:"true" are never shown.
func CheckStruct(s any) []Problem {
	err := checker().Struct(s)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return nil
	}
	root := reflect.Indirect(reflect.ValueOf(s)).Type()
	problems := make([]Problem, 0, len(faults))
	for _, f := range faults {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		path = dotted(path)
		problems = append(problems, Problem{
			Field: path,
			Value: showText(fmt.Sprintf("%v", f.Value()), secretAt(root, path)),
			Want:  wantTag(f.Tag(), f.Param()),
		})
	}
	return problems
}

// dotted turns the validator's roles[agent] into roles.agent and leaves the
// index of an array as it is.
func dotted(path string) string {
	var b strings.Builder
	for {
		before, rest, found := strings.Cut(path, "[")
		b.WriteString(before)
		if !found {
			return b.String()
		}
		key, after, _ := strings.Cut(rest, "]")
		if strings.Trim(key, "0123456789") == "" {
			b.WriteString("[" + key + "]")
		} else {
			b.WriteString("." + key)
		}
		path = after
	}
}

// secretAt reports whether a field on the way along a path is marked secret.
func secretAt(t reflect.Type, path string) bool {
	for name := range strings.SplitSeq(path, ".") {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return false
		}
		base, _, _ := strings.Cut(name, "[")
		f, known := find(fieldsOf(t), base)
		if !known || f.secret {
			return known
		}
		t = f.typ
	}
	return false
}

// wantTag says in words what a rule expects.
func wantTag(tag, param string) string {
	switch tag {
	case "required":
		return "a value"
	case "name":
		return "1 to 63 letters, digits, dots, dashes or underscores, starting with a letter or digit"
	case "ipport":
		return "an IP address and a port, for example 127.0.0.1:7400"
	case "hexkey":
		return fmt.Sprintf("a key of at least %d bytes in hex, as knapctl key new prints", MinKeyBytes)
	case "oneof":
		return "one of " + strings.ReplaceAll(param, " ", ", ")
	case "min", "gte":
		return "at least " + param
	case "max", "lte":
		return "at most " + param
	case "gt":
		return "more than " + param
	case "lt":
		return "less than " + param
	default:
		return strings.TrimSuffix(tag+" "+param, " ")
	}
}
