package kern

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes JSON lines. Its level can be changed at
// any time through level.
func NewLogger(w io.Writer, level zap.AtomicLevel) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "time"
	enc.EncodeTime = func(t time.Time, out zapcore.PrimitiveArrayEncoder) {
		out.AppendString(t.UTC().Format(time.RFC3339Nano))
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), level)
	return zap.New(core, zap.ErrorOutput(zapcore.Lock(zapcore.AddSync(w))))
}

// wallClock tells the time of the host.
type wallClock struct{}

// Now returns the time of the host.
func (wallClock) Now() time.Time { return time.Now() }
