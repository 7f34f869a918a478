// Package e2e holds the tests that run the real processes: they kill them,
// freeze them and cut their connections.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	binDir  = flag.String("bin", "", "folder of built programs; empty builds them")
	verbose = flag.Bool("verbose", false, "print each step of the demo")
	logDir  = flag.String("logs", "", "folder that gets the processes' whole logs when a test fails")
)

var buildOnce = sync.OnceValues(func() (string, error) {
	if *binDir != "" {
		return *binDir, nil
	}
	dir, err := os.MkdirTemp("", "knap-bin-")
	if err != nil {
		return "", err
	}
	args := append([]string{"build"}, buildFlags...)
	out, err := exec.Command("go", append(args, "-o", dir+"/", "../../cmd/knapd", "../../cmd/knapctl", "../../cmd/knapfake")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if dir, err := buildOnce(); err == nil && *binDir == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// proc is one running process.
type proc struct {
	t    testing.TB
	name string
	args []string
	log  *syncBuffer
	cmd  *exec.Cmd
	done chan struct{}
}

// syncBuffer keeps what a process printed.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// run starts a program and ends it with the test.
func run(t testing.TB, name, program string, args ...string) *proc {
	t.Helper()
	dir, err := buildOnce()
	require.NoError(t, err)
	p := &proc{t: t, name: name, args: append([]string{filepath.Join(dir, program)}, args...), log: &syncBuffer{}}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if strings.Contains(p.log.String(), "DATA RACE") {
			t.Errorf("%s: data race\n%s", name, p.log.String())
		}
		if t.Failed() {
			t.Logf("== %s\n%s", name, tail(p.log.String(), 12))
			p.keepLog()
		}
	})
	return p
}

// keepLog writes the whole log to the folder of the flag logs, if it is given.
// The process id keeps the runs of one test apart.
func (p *proc) keepLog() {
	if *logDir == "" {
		return
	}
	file := fmt.Sprintf("%s-%d-%s.log", strings.ReplaceAll(p.t.Name(), "/", "-"), p.cmd.Process.Pid, p.name)
	if err := os.WriteFile(filepath.Join(*logDir, file), []byte(p.log.String()), 0o600); err != nil {
		p.t.Logf("%s: log not kept: %v", p.name, err)
	}
}

func tail(s string, lines int) string {
	all := strings.Split(strings.TrimRight(s, "\n"), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (p *proc) start() {
	p.t.Helper()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(p.t, p.cmd.Start())
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	reaper.Go(func() error {
		_ = cmd.Wait()
		close(done)
		return nil
	})
}

func (p *proc) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *proc) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks the process to end and waits until it has.
func (p *proc) stop(within time.Duration) int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(within):
		require.Fail(p.t, "process does not stop", "%s\n%s", p.name, tail(p.log.String(), 12))
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *proc) freeze() { p.signal(syscall.SIGSTOP) }

func (p *proc) thaw() { p.signal(syscall.SIGCONT) }

// awaitLine returns what follows prefix on the first line that has it.
func (p *proc) awaitLine(prefix string) string {
	p.t.Helper()
	var found string
	pollUntil(p.t, 10*time.Second, p.name+" prints "+prefix, func() bool {
		sc := bufio.NewScanner(strings.NewReader(p.log.String()))
		for sc.Scan() {
			if rest, ok := strings.CutPrefix(sc.Text(), prefix); ok {
				found = strings.TrimSpace(rest)
				return true
			}
		}
		return false
	})
	return found
}

// pollUntil waits until cond holds.
func pollUntil(t testing.TB, within time.Duration, what string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for !cond() {
		select {
		case <-ctx.Done():
			require.Fail(t, "condition not met in time", "%s within %s", what, within)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// nextPort counts through ports below those that the system gives to outgoing
// connections, which could take one between its choice and its use.
var nextPort atomic.Int64

const (
	firstPort = 12_000
	portRange = 18_000
)

// freePort returns a loopback address that nobody listens on.
func freePort(t testing.TB) string {
	t.Helper()
	for range portRange {
		n := (nextPort.Add(1) + int64(os.Getpid())*61) % portRange
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			ln.Close()
			return addr
		}
	}
	require.Fail(t, "no free port")
	return ""
}
