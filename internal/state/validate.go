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

// labelPattern matches valid names and ids.
var labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// maxShownBytes is the maximum number of bytes of a refused value that a refusal
// repeats.
const maxShownBytes = 64

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	err := v.RegisterValidation("label", func(f validator.FieldLevel) bool {
		return labelPattern.MatchString(f.Field().String())
	})
	if err != nil {
		panic(err) // only if the tag name or the function is empty
	}
	return v
}

// checkFields validates a struct by the tags of its fields and returns a refusal
// for each invalid field. Field names are prefixed with path.
func checkFields(path string, v any) []model.Refusal {
	var fieldErrs validator.ValidationErrors
	if !errors.As(fieldValidator.Struct(v), &fieldErrs) {
		return nil
	}
	refusals := make([]model.Refusal, 0, len(fieldErrs))
	for _, f := range fieldErrs {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		refusals = append(refusals, newRefusal(path+"."+field, f.Value(), violationReason(f)))
	}
	return refusals
}

func checkLabel(field, value string) []model.Refusal {
	if labelPattern.MatchString(value) {
		return nil
	}
	return []model.Refusal{newRefusal(field, value, labelReason)}
}

const labelReason = "must be 1 to 128 letters, digits, dots, dashes or underscores, and begin with a letter or digit"

// violationReason describes the limit that a field violates.
func violationReason(f validator.FieldError) string {
	lengthSuffix := ""
	if k := f.Kind(); k == reflect.String || k == reflect.Slice {
		lengthSuffix = " in length"
	}
	switch f.Tag() {
	case "label":
		return labelReason
	case "min":
		return "must be at least " + f.Param() + lengthSuffix
	case "max", "lte":
		return "must be at most " + f.Param() + lengthSuffix
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

func newRefusal(field string, value any, reason string) model.Refusal {
	s := fmt.Sprint(value)
	if len(s) > maxShownBytes {
		s = strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
	}
	return model.Refusal{Field: field, Value: s, Reason: reason}
}

func tooLongRefusal(field, value string, limit int) model.Refusal {
	return newRefusal(field, value, fmt.Sprintf("is %d bytes long, at most %d are taken", len(value), limit))
}

// refusedResult returns the result for invalid input.
func refusedResult(refusals []model.Refusal) Result {
	return Result{
		Err:      errors.Wrapf(ErrRefused, "%s %s", refusals[0].Field, refusals[0].Reason),
		Refusals: refusals,
	}
}
