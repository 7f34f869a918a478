package state

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// label matches valid names and ids.
var label = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// shownValue is the maximum number of bytes of a refused value that a refusal
// repeats.
const shownValue = 64

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	err := v.RegisterValidation("label", func(f validator.FieldLevel) bool {
		return label.MatchString(f.Field().String())
	})
	if err != nil {
		panic(err) // only if the tag name or the function is empty
	}
	return v
}

// checkFields validates a struct by the tags of its fields and returns a refusal
// for each invalid field. Field names are prefixed with path.
func checkFields(path string, v any) []model.Refusal {
	var faults validator.ValidationErrors
	if !errors.As(checker.Struct(v), &faults) {
		return nil
	}
	bad := make([]model.Refusal, 0, len(faults))
	for _, f := range faults {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		bad = append(bad, refuse(path+"."+field, f.Value(), reason(f)))
	}
	return bad
}

func checkLabel(field, value string) []model.Refusal {
	if label.MatchString(value) {
		return nil
	}
	return []model.Refusal{refuse(field, value, labelReason)}
}

const labelReason = "must be 1 to 128 letters, digits, dots, dashes or underscores, and begin with a letter or digit"

// reason describes the limit that a field violates.
func reason(f validator.FieldError) string {
	counted := ""
	if k := f.Kind(); k == reflect.String || k == reflect.Slice {
		counted = " in length"
	}
	switch f.Tag() {
	case "label":
		return labelReason
	case "min":
		return "must be at least " + f.Param() + counted
	case "max", "lte":
		return "must be at most " + f.Param() + counted
	case "gt":
		return "must be more than " + f.Param()
	case "len":
		return "must be " + f.Param() + " long"
	case "oneof":
		return "must be one of: " + f.Param()
	case "required":
		return "is missing"
	case "unique":
		return "holds the same entry twice"
	case "ltefield":
		return "must be at most " + strings.ToLower(f.Param())
	}
	return "must be " + f.Tag()
}

func refuse(field string, value any, reason string) model.Refusal {
	s := fmt.Sprint(value)
	if len(s) > shownValue {
		s = strings.ToValidUTF8(s[:shownValue], "") + "..."
	}
	return model.Refusal{Field: field, Value: s, Reason: reason}
}

func tooLong(field, value string, limit int) model.Refusal {
	return refuse(field, value, fmt.Sprintf("is %d bytes long, at most %d are taken", len(value), limit))
}

// refused returns the result for invalid input.
func refused(bad []model.Refusal) Result {
	return Result{
		Err:      errors.Wrapf(ErrRefused, "%s %s", bad[0].Field, bad[0].Reason),
		Refusals: bad,
	}
}
