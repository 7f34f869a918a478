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

// MinKeyBytes is the minimum length of a key in bytes.
const MinKeyBytes = 16

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// structValidator returns the validator with this package's own rules: name,
// ipport and hexkey.
var structValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(sf reflect.StructField) string {
		name, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		return name
	})
	must(v.RegisterValidation("name", func(fl validator.FieldLevel) bool {
		return namePattern.MatchString(fl.Field().String())
	}))
	must(v.RegisterValidation("ipport", func(fl validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(fl.Field().String())
		return err == nil
	}))
	must(v.RegisterValidation("hexkey", func(fl validator.FieldLevel) bool {
		b, err := hex.DecodeString(fl.Field().String())
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
// supports name, ipport (an IP address with a port) and hexkey. The values of
// fields tagged secret:"true" are never shown.
func CheckStruct(s any) []Problem {
	err := structValidator().Struct(s)
	var fieldErrs validator.ValidationErrors
	if !errors.As(err, &fieldErrs) {
		return nil
	}
	rootType := reflect.Indirect(reflect.ValueOf(s)).Type()
	problems := make([]Problem, 0, len(fieldErrs))
	for _, f := range fieldErrs {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		path = dottedPath(path)
		problems = append(problems, Problem{
			Field: path,
			Value: displayText(fmt.Sprintf("%v", f.Value()), isSecretPath(rootType, path)),
			Want:  describeRule(f.Tag(), f.Param()),
		})
	}
	return problems
}

// dottedPath converts the validator's path roles[agent] into roles.agent. Array
// indexes such as peers[1] stay.
func dottedPath(path string) string {
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

// isSecretPath reports whether any field along the path is marked secret.
func isSecretPath(t reflect.Type, path string) bool {
	for segment := range strings.SplitSeq(path, ".") {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return false
		}
		fieldName, _, _ := strings.Cut(segment, "[")
		f, known := findField(fieldsOf(t), fieldName)
		if !known || f.secret {
			return known
		}
		t = f.typ
	}
	return false
}

// describeRule describes the values that a validation rule accepts.
func describeRule(tag, param string) string {
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
