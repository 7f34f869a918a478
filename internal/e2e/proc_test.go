// Package e2e holds the end-to-end tests. They run the real programs, kill and
// suspend processes and interrupt their connections.
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
	binDir  = flag.String("bin", "", "folder of the built programs; if empty, they are built")
	verbose = flag.Bool("verbose", false, "print each step of the demo")
	logDir  = flag.String("logs", "", "folder for the complete logs of the processes of a failed test")
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

// proc is a process of a program, which can be restarted with the same
// arguments. The field output collects the output of all runs.
type proc struct {
	t      testing.TB
	name   string
	args   []string
	output *syncBuffer
	cmd    *exec.Cmd
	exited chan struct{}
}

// syncBuffer is a buffer that is safe for concurrent use.
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

// startProgram builds the programs if necessary, starts one and kills it at the
// end of the test. The test fails if the race detector reported a data race.
func startProgram(t testing.TB, name, program string, args ...string) *proc {
	t.Helper()
	dir, err := buildOnce()
	require.NoError(t, err)
	p := &proc{t: t, name: name, args: append([]string{filepath.Join(dir, program)}, args...), output: &syncBuffer{}}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if strings.Contains(p.output.String(), "DATA RACE") {
			t.Errorf("%s: data race\n%s", name, p.output.String())
		}
		if t.Failed() {
			t.Logf("== %s\n%s", name, lastLines(p.output.String(), 12))
			p.writeLog()
		}
	})
	return p
}

// writeLog writes the complete log to the folder of the flag logs, if it is
// set. The process id in the file name keeps repeated runs of one test apart.
func (p *proc) writeLog() {
	if *logDir == "" {
		return
	}
	file := fmt.Sprintf("%s-%d-%s.log", strings.ReplaceAll(p.t.Name(), "/", "-"), p.cmd.Process.Pid, p.name)
	if err := os.WriteFile(filepath.Join(*logDir, file), []byte(p.output.String()), 0o600); err != nil {
		p.t.Logf("%s: log could not be written: %v", p.name, err)
	}
}

func lastLines(s string, n int) string {
	lines := strings.Split(strings.TrimRight(s, "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func (p *proc) start() {
	p.t.Helper()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(p.t, p.cmd.Start())
	p.exited = make(chan struct{})
	cmd, exited := p.cmd, p.exited
	reaper.Go(func() error {
		_ = cmd.Wait()
		close(exited)
		return nil
	})
}

func (p *proc) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL, even a suspended one, and waits for its
// exit.
func (p *proc) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM, waits for the exit and returns the exit status.
func (p *proc) stop(timeout time.Duration) int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(timeout):
		require.Fail(p.t, "process did not stop in time", "%s\n%s", p.name, lastLines(p.output.String(), 12))
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *proc) suspend() { p.signal(syscall.SIGSTOP) }

func (p *proc) resume() { p.signal(syscall.SIGCONT) }

// awaitLine waits for an output line that begins with prefix and returns the
// rest of the line.
func (p *proc) awaitLine(prefix string) string {
	p.t.Helper()
	var found string
	pollUntil(p.t, 10*time.Second, p.name+" prints "+prefix, func() bool {
		sc := bufio.NewScanner(strings.NewReader(p.output.String()))
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

// pollUntil evaluates cond every 10 ms until it holds, and fails the test if
// that takes too long.
func pollUntil(t testing.TB, timeout time.Duration, description string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for !cond() {
		select {
		case <-ctx.Done():
			require.Fail(t, "condition not met in time", "%s within %s", description, timeout)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// portsTaken counts the ports handed out. They lie below the ephemeral range of
// the operating system, as an outgoing connection could take a port of that
// range between its choice and its use.
var portsTaken atomic.Int64

const (
	firstPort = 12_000
	portRange = 18_000
)

// freePort returns a loopback address on which no process listens.
func freePort(t testing.TB) string {
	t.Helper()
	for range portRange {
		n := (portsTaken.Add(1) + int64(os.Getpid())*61) % portRange
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
