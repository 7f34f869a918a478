package wire

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ErrPanic is returned by Guard for a function that panicked.
var ErrPanic = errors.New("panic")

// Guard calls f, which serves one stream. If f panics, Guard logs the panic and returns ErrPanic: one
// message that f can't cope with must end its stream, not all the other work of the process.
func Guard(log *zap.Logger, f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			log.Error("stream ended by a panic", zap.Any("panic", p), zap.Stack("stack"))
			err = errors.Wrapf(ErrPanic, "%v", p)
		}
	}()
	return f()
}
