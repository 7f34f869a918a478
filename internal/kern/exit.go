package kern

import "github.com/cockroachdb/errors"

// Exit codes of knapd.
const (
	ExitOK       = 0
	ExitFailure  = 1 // a role failed
	ExitSettings = 2 // settings refused, or wrong usage
	ExitDrain    = 3 // the drain deadline passed with work still running
	ExitData     = 4 // the data folder was refused
)

var (
	// ErrDrain marks a stop that was cut short by its deadline.
	ErrDrain = errors.New("drain deadline passed")
	// ErrData marks a data folder that a role refuses to use.
	ErrData = errors.New("data folder refused")
)

// ExitCode returns the exit code that fits an error of Run or Load.
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
