package jobctl

import (
	"go.uber.org/zap/zapcore"

	"github.com/knapweedlug/knapweedlug/internal/allot"
)

// loggedShare is a team's share in a log line.
type loggedShare allot.TeamShare

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s loggedShare) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("team", s.Team)
	enc.AddFloat64("share", s.Share)
	enc.AddInt("waiting", s.Waiting)
	enc.AddInt("started", s.Started)
	return nil
}
