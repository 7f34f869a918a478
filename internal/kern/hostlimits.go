package kern

import (
	"runtime/debug"
	"syscall"

	"github.com/knapweedlug/knapweedlug/internal/guard"
)

const (
	mebibyte = 1 << 20
	// uncountedMemory is what the runtime doesn't count: mostly the pages of the program itself, about 18 MiB.
	uncountedMemory = 32 * mebibyte
)

// clientLimits returns what clients may make the process hold.
func (c *Config) clientLimits() guard.Limits {
	files := c.Limits.Files
	if limit := openFilesLimit(); files == 0 || limit > 0 && limit < files {
		files = limit
	}
	return guard.NewLimits(int64(c.Limits.MemoryMiB)*mebibyte, files).WithClient(c.Limits.Client)
}

// openFilesLimit returns how many descriptors the system lets the process open, or 0 if it doesn't say.
func openFilesLimit() int {
	const unlimited = 1 << 24
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, unlimited))
}

// setMemoryLimit makes the runtime collect garbage more often when the process comes near the memory of its host.
func (c *Config) setMemoryLimit() {
	if c.Limits.MemoryMiB > 0 {
		debug.SetMemoryLimit(runtimeMemory(int64(c.Limits.MemoryMiB) * mebibyte))
	}
}

// runtimeMemory returns how much of a host's memory, in bytes, the runtime may use. A fifth is kept for what is allocated
// while garbage is collected. On small hosts that is less than what the runtime doesn't count.
func runtimeMemory(memory int64) int64 {
	return max(min(memory/5*4, memory-uncountedMemory), memory/2)
}
