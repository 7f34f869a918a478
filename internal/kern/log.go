package kern

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one JSON object per line to w. Its
// level can be changed at any time through level.
func NewLogger(w io.Writer, level zap.AtomicLevel) *zap.Logger {
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.TimeKey = "time"
	encoderConfig.EncodeTime = func(t time.Time, out zapcore.PrimitiveArrayEncoder) {
		out.AppendString(t.UTC().Format(time.RFC3339Nano))
	}
	core := plainErrorCore{zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), zapcore.Lock(zapcore.AddSync(w)), level)}
	return zap.New(core, zap.ErrorOutput(zapcore.Lock(zapcore.AddSync(w))))
}

// plainErrorCore logs only the message of an error, without its stack trace.
type plainErrorCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c plainErrorCore) With(fields []zapcore.Field) zapcore.Core {
	return plainErrorCore{c.Core.With(plainErrorFields(fields))}
}

// Check implements zapcore.Core.
func (c plainErrorCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core.
func (c plainErrorCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plainErrorFields(fields))
}

func plainErrorFields(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}

// wallClock returns the time of day of the host.
type wallClock struct{}

// Now implements Clock.
func (wallClock) Now() time.Time { return time.Now() }
