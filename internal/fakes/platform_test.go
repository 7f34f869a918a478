package fakes_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/internal/platf"
)

// fakeClock is a clock that a test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *fakeClock { return &fakeClock{now: time.Date(2026, 4, 5, 6, 0, 0, 0, time.UTC)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// platformTest is a fake platform with its clock and a client.
type platformTest struct {
	*fakes.Platform
	*fakeClock
	client *platf.Client
	ctx    context.Context
}

func newPlatformTest(t *testing.T) *platformTest {
	c := newClock()
	p := fakes.NewPlatform(fakes.Fleet(4, "pl", "a", "b"), time.Minute, c)
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return &platformTest{Platform: p, fakeClock: c, client: platf.New(srv.URL, srv.Client()), ctx: t.Context()}
}

func (b *platformTest) hold(worker, job string, epoch uint64, accels int) (platf.Task, error) {
	return b.client.Hold(b.ctx, platf.HoldRequest{
		Worker: worker, Job: job, Epoch: epoch, Cores: 4, Accels: accels, Deadline: b.Now().Add(10 * time.Second),
	})
}

func TestPlatformRunsHeldLease(t *testing.T) {
	b := newPlatformTest(t)
	workers, err := b.client.Workers(b.ctx)
	require.NoError(t, err)
	require.Equal(t, b.Workers(), workers)
	lease, err := b.hold("w00", "j", 1, 8)
	require.NoError(t, err)
	require.Equal(t, platf.TaskHeld, lease.State)
	again, err := b.hold("w00", "j", 1, 8)
	require.NoError(t, err)
	require.Equal(t, lease, again)
	_, err = b.hold("w00", "other", 1, 1)
	require.ErrorIs(t, err, platf.ErrFull)

	for range 2 { // a repeated request starts nothing
		lease, err = b.client.Start(b.ctx, lease.ID, platf.StartRequest{Epoch: 1, Command: "sleep 2s"})
		require.NoError(t, err)
		require.Equal(t, platf.TaskRunning, lease.State)
	}
	b.advance(2 * time.Second)
	tasks, err := b.client.Tasks(b.ctx, "w00")
	require.NoError(t, err)
	require.Len(t, tasks, 1)
	require.Equal(t, platf.TaskDone, tasks[0].State)
	require.Equal(t, 2*time.Second, tasks[0].Ended.Sub(tasks[0].Started))
	var kinds []fakes.EventKind
	for _, e := range b.Journal.Entries() {
		kinds = append(kinds, e.Kind)
	}
	require.Equal(t, []fakes.EventKind{fakes.EventHold, fakes.EventStart, fakes.EventEnd}, kinds)
}

func TestPlatformFencesEpochs(t *testing.T) {
	b := newPlatformTest(t)
	old, err := b.hold("w00", "j", 3, 1)
	require.NoError(t, err)
	_, err = b.client.Renew(b.ctx, old.ID, platf.RenewRequest{Epoch: 4, Deadline: b.Now().Add(time.Hour)})
	require.ErrorIs(t, err, platf.ErrFenced)
	_, err = b.hold("w01", "j", 4, 1)
	require.NoError(t, err)
	_, err = b.hold("w02", "j", 3, 1)
	require.ErrorIs(t, err, platf.ErrFenced)
	var refusal *platf.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, uint64(4), refusal.Epoch)
	_, err = b.client.Start(b.ctx, old.ID, platf.StartRequest{Epoch: 3, Command: "sleep 1s"})
	require.ErrorIs(t, err, platf.ErrFenced)
	_, err = b.client.Renew(b.ctx, old.ID, platf.RenewRequest{Epoch: 3, Deadline: b.Now().Add(time.Hour)})
	require.ErrorIs(t, err, platf.ErrFenced)
	_, err = b.client.Stop(b.ctx, old.ID, platf.StopRequest{Epoch: 3})
	require.ErrorIs(t, err, platf.ErrFenced)
	stopped, err := b.client.Stop(b.ctx, old.ID, platf.StopRequest{Epoch: 4})
	require.NoError(t, err)
	require.Equal(t, platf.TaskStopped, stopped.State)
}

func TestPlatformExpiresLease(t *testing.T) {
	b := newPlatformTest(t)
	lease, err := b.hold("w00", "j", 1, 1)
	require.NoError(t, err)
	_, err = b.client.Start(b.ctx, lease.ID, platf.StartRequest{Epoch: 1, Command: "forever"})
	require.NoError(t, err)
	b.advance(9 * time.Second)
	_, err = b.client.Renew(b.ctx, lease.ID, platf.RenewRequest{Epoch: 1, Deadline: b.Now().Add(5 * time.Second)})
	require.NoError(t, err)
	b.advance(5 * time.Second)
	_, err = b.client.Renew(b.ctx, lease.ID, platf.RenewRequest{Epoch: 1, Deadline: b.Now().Add(time.Hour)})
	require.ErrorIs(t, err, platf.ErrExpired)
	require.Equal(t, platf.TaskExpired, b.Tasks("w00")[0].State)
}

func TestPlatformCheckpointAndThrottle(t *testing.T) {
	b := newPlatformTest(t)
	lease, _ := b.hold("w00", "j", 1, 1)
	_, err := b.client.Start(b.ctx, lease.ID, platf.StartRequest{Epoch: 1, Command: "sleep 6s"})
	require.NoError(t, err)
	_, err = b.client.Throttle(b.ctx, lease.ID, platf.ThrottleRequest{Epoch: 1, Share: 0.5})
	require.NoError(t, err)
	b.advance(4 * time.Second) // 2 s of work
	saved, err := b.client.Checkpoint(b.ctx, lease.ID, platf.CheckpointRequest{Epoch: 1})
	require.NoError(t, err)
	require.EqualValues(t, 2000, saved.SavedMs)
	stopped, err := b.client.Stop(b.ctx, lease.ID, platf.StopRequest{Epoch: 1})
	require.NoError(t, err)
	require.Equal(t, platf.TaskCheckpointed, stopped.State)
	next, _ := b.hold("w01", "j", 2, 1)
	_, err = b.client.Start(b.ctx, next.ID, platf.StartRequest{Epoch: 2, Command: "sleep 6s"})
	require.NoError(t, err)
	b.advance(4 * time.Second)
	require.Equal(t, platf.TaskDone, b.Tasks("w01")[0].State)
}

func TestPlatformFaults(t *testing.T) {
	b := newPlatformTest(t)
	b.SetFault("w00", fakes.Fault{Fails: true})
	lease, _ := b.hold("w00", "j", 1, 1)
	failed, err := b.client.Start(b.ctx, lease.ID, platf.StartRequest{Epoch: 1, Command: "sleep 6s"})
	require.NoError(t, err)
	require.Equal(t, platf.TaskFailed, failed.State)
	b.SetFault("w01", fakes.Fault{Unreachable: true})
	_, err = b.hold("w01", "j", 1, 1)
	require.ErrorIs(t, err, platf.ErrUnreachable)
	_, err = b.hold("w02", "k", 1, 1)
	require.NoError(t, err)
	b.SetFault("w02", fakes.Fault{Dead: true})
	require.Equal(t, platf.TaskFailed, b.Tasks("w02")[0].State)
	_, err = b.client.Tasks(b.ctx, "none")
	require.ErrorIs(t, err, platf.ErrUnknown)
	_, err = b.client.Hold(b.ctx, platf.HoldRequest{Worker: "w03"})
	require.ErrorIs(t, err, platf.ErrMalformed)
}

func TestPlatformUsageLags(t *testing.T) {
	b := newPlatformTest(t)
	_, err := b.hold("w00", "j", 1, 3)
	require.NoError(t, err)
	usage, err := b.client.Usage(b.ctx)
	require.NoError(t, err)
	require.Zero(t, usage[0].Accels)
	b.advance(time.Minute)
	usage, err = b.client.Usage(b.ctx)
	require.NoError(t, err)
	require.Equal(t, 3, usage[0].Accels)
}

func TestPlatformDropsOldTasks(t *testing.T) {
	b := newPlatformTest(t)
	_, err := b.hold("w00", "j", 1, 1)
	require.NoError(t, err)
	b.advance(time.Minute)
	require.Len(t, b.Tasks("w00"), 1)
	second, err := b.hold("w00", "j", 2, 1)
	require.NoError(t, err)
	live, err := b.client.Hold(b.ctx, platf.HoldRequest{Worker: "w01", Job: "k", Epoch: 1, Deadline: b.Now().Add(time.Hour)})
	require.NoError(t, err)
	b.advance(10 * time.Minute)
	require.Equal(t, []string{second.ID, live.ID}, taskIDs(b.Tasks("")))
	_, err = b.client.Stop(b.ctx, "l1", platf.StopRequest{Epoch: 2})
	require.ErrorIs(t, err, platf.ErrUnknown)
	third, err := b.hold("w00", "j", 3, 1)
	require.NoError(t, err)
	require.Equal(t, []string{second.ID, third.ID}, taskIDs(b.Tasks("w00")))
	require.NotContains(t, []string{second.ID, live.ID}, third.ID)
}

func taskIDs(tasks []platf.Task) []string {
	var list []string
	for _, t := range tasks {
		list = append(list, t.ID)
	}
	return list
}

func TestPlatformClientErrors(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "proxy is down", http.StatusBadGateway)
	}))
	c := platf.New(srv.URL, srv.Client())
	_, err := c.Workers(t.Context())
	require.ErrorIs(t, err, platf.ErrNoAnswer)
	srv.Close()
	_, err = c.Workers(t.Context())
	require.ErrorIs(t, err, platf.ErrNoAnswer)
}

// Checks that after any sequence of requests no worker holds more accelerators than it
// has, and that the starts of a job never go back to a lower epoch.
func TestPlatformProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		p := fakes.NewPlatform(fakes.Fleet(3, "pl", "a"), 0, c)
		job := rapid.SampledFrom([]string{"j", "k"})
		worker := rapid.SampledFrom([]string{"w00", "w01", "w02"})
		epoch := rapid.Uint64Range(1, 5)
		id := rapid.SampledFrom([]string{"l1", "l2", "l3", "l4", "l5"})
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				_, _ = p.Hold(platf.HoldRequest{
					Worker: worker.Draw(t, "worker"), Job: job.Draw(t, "job"), Member: rapid.IntRange(0, 3).Draw(t, "member"),
					Epoch: epoch.Draw(t, "epoch"), Accels: rapid.IntRange(0, 9).Draw(t, "accels"), Deadline: c.Now().Add(3 * time.Second),
				})
			},
			"start": func(t *rapid.T) {
				_, _ = p.Start(id.Draw(t, "id"), platf.StartRequest{Epoch: epoch.Draw(t, "epoch"), Command: "sleep 2s"})
			},
			"stop": func(t *rapid.T) {
				_, _ = p.Stop(id.Draw(t, "id"), platf.StopRequest{Epoch: epoch.Draw(t, "epoch")})
			},
			"pass": func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				for _, u := range p.Usage() {
					require.LessOrEqual(t, u.Accels, 8)
				}
				lastEpochs := map[string]uint64{}
				for _, e := range p.Journal.Entries() {
					if e.Kind == fakes.EventStart {
						require.GreaterOrEqual(t, e.Epoch, lastEpochs[e.Job])
						lastEpochs[e.Job] = e.Epoch
					}
				}
			},
		})
	})
}
