package kern

import "github.com/cockroachdb/errors"

// Exit codes of knapd.
const (
	ExitOK       = 0
	ExitFailure  = 1 // a role failed
	ExitSettings = 2 // invalid settings or wrong usage
	ExitDrain    = 3 // the drain deadline passed with work still running
	ExitData     = 4 // a role can't use its data folder
)

var (
	// ErrDrain is returned when work was still running at the drain deadline.
	ErrDrain = errors.New("drain deadline passed")
	// ErrData is returned when a role can't use its data folder.
	ErrData = errors.New("data folder refused")
)

// ExitCode returns the exit code for an error of Run or Load.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrSettings):
		return ExitSettings
	case errors.Is(err, ErrData):
		return ExitData
	case errors.Is(err, ErrDrain):
		return ExitDrain
	default:
		return ExitFailure
	}
}
