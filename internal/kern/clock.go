package kern

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the host started, including the time that
// the host was suspended. Its times have no monotonic reading and no relation to
// the time of day; only differences between them are meaningful.
type BootClock struct{}

// Now returns the time since the host started, as a time after 1970.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease is safe.
		panic("kern: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
