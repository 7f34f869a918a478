package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// planModel is a simple model of intents and plans that the state machine is
// compared with.
type planModel struct {
	rig     *rig
	weights map[string]int       // current weight by team
	touched uint64               // revision of the last change
	asked   map[string]int       // requested weight by operator and intent id
	plans   map[string]modelPlan // expected plans by id
}

type modelPlan struct {
	operator string
	team     string
	weight   int
	base     uint64
	deadline time.Time
	answer   *model.Plan // final answer, once there is one
}

// ask submits an intent. Ids and weights are drawn from small sets, so that they
// collide often.
func (m *planModel) ask(t *rapid.T) {
	operator := rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator")
	team := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")
	id := team + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "id")
	weight := rapid.IntRange(1, 2).Draw(t, "weight")
	out := m.rig.plan(operator, id, setTeam(team, weight))
	key := operator + id
	if had, ok := m.asked[key]; ok && had != weight {
		require.ErrorIs(t, out.Err, ErrIntentReused)
		return
	}
	if _, ok := m.asked[key]; ok {
		m.checkStored(t, out)
		return
	}
	require.NoError(t, out.Err)
	require.Equal(t, m.touched, out.Plan.Base)
	m.asked[key] = weight
	m.plans[out.Plan.ID] = modelPlan{
		operator: operator, team: team, weight: weight, base: out.Plan.Base, deadline: out.Plan.Deadline,
	}
}

// checkStored checks the result for a resent intent.
func (m *planModel) checkStored(t *rapid.T, out Result) {
	want := m.plans[out.Plan.ID]
	if want.answer != nil {
		require.Equal(t, want.answer, out.Plan)
		return
	}
	if m.rig.now.Before(want.deadline) {
		require.Equal(t, model.PlanOpen, out.Plan.State)
		return
	}
	require.ErrorIs(t, out.Err, ErrExpired)
	want.answer = out.Plan
	m.plans[out.Plan.ID] = want
}

func (m *planModel) confirm(t *rapid.T) {
	if len(m.plans) == 0 {
		t.Skip()
	}
	id := rapid.SampledFrom(sortedKeys(m.plans)).Draw(t, "plan")
	p := m.plans[id]
	out := m.rig.confirm(p.operator, id)
	switch {
	case p.answer != nil:
		require.Equal(t, p.answer, out.Plan)
	case !m.rig.now.Before(p.deadline):
		require.ErrorIs(t, out.Err, ErrExpired)
	case p.base != m.touched:
		require.ErrorIs(t, out.Err, ErrConflict)
		require.Contains(t, out.Err.Error(), fmt.Sprintf("revision %d by plan", p.base+1))
	default:
		require.NoError(t, out.Err)
		m.touched++
		m.weights[p.team] = p.weight
		require.Equal(t, m.touched, out.Plan.Revision)
	}
	p.answer = out.Plan
	m.plans[id] = p
}

func (m *planModel) check(t *rapid.T) {
	v := m.rig.s.View()
	require.Equal(t, m.touched, v.Revision())
	got := map[string]int{}
	for _, team := range v.Config().Teams() {
		got[team.Name] = team.Weight
	}
	require.Equal(t, m.weights, got)
}

func sortedKeys[T any](m map[string]T) []string {
	t := newTable[string, T]()
	for k, v := range m {
		t.set(k, v)
	}
	var keys []string
	for k := range t.all() {
		keys = append(keys, k)
	}
	return keys
}

func TestPlansMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &planModel{
			rig: newRig(t), weights: map[string]int{}, asked: map[string]int{}, plans: map[string]modelPlan{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"ask":     m.ask,
			"confirm": m.confirm,
			"wait": func(t *rapid.T) {
				m.rig.now = m.rig.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "minutes")) * time.Minute)
			},
			"expire":  func(*rapid.T) { m.rig.must(Command{Expire: &Expire{Limit: 3}}) },
			"restart": func(*rapid.T) { m.rig.restart() },
		})
	})
}

// claimModel models claims and counts the attempts that may have run.
type claimModel struct {
	rig     *rig
	body    map[string]string // body of the first request, by key
	runs    map[string]int    // attempts that were granted and may have run, by key
	current map[string]uint64 // current epoch, by key
	epochs  []uint64          // all granted epochs
	answer  map[string]string // stored answer, by key
	state   map[string]ClaimState
}

func (m *claimModel) claim(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	body := rapid.SampledFrom([]string{"h", "h", "h", "g"}).Draw(t, "body")
	attempt := fmt.Sprint(m.rig.index)
	out := m.rig.claim(key, body, attempt)
	if had, ok := m.body[key]; ok && had != body {
		require.ErrorIs(t, out.Err, ErrKeyReused)
		return
	}
	require.NoError(t, out.Err)
	m.body[key] = body
	free := m.state[key] == "" || m.state[key] == ClaimNotRun
	require.Equal(t, free, out.Claim.Granted)
	if !free {
		require.Equal(t, m.state[key], out.Claim.Claim.State)
		return
	}
	require.Greater(t, out.Claim.Claim.Epoch, m.current[key])
	m.current[key] = out.Claim.Claim.Epoch
	m.epochs = append(m.epochs, out.Claim.Claim.Epoch)
	m.state[key] = ClaimFlight
	m.runs[key]++
}

func (m *claimModel) settle(t *rapid.T) {
	if len(m.epochs) == 0 {
		t.Skip()
	}
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	epoch := rapid.SampledFrom(m.epochs).Draw(t, "epoch")
	s := rapid.SampledFrom([]ClaimState{ClaimAnswered, ClaimNotRun, ClaimUnknown}).Draw(t, "state")
	body := fmt.Sprint(m.rig.index)
	out := m.rig.settle(key, epoch, s, body)
	if m.state[key] == "" {
		require.ErrorIs(t, out.Err, ErrNotFound)
		return
	}
	if epoch != m.current[key] {
		require.ErrorIs(t, out.Err, ErrFenced)
		return
	}
	late := m.state[key] == ClaimUnknown && s == ClaimAnswered
	if m.state[key] != ClaimFlight && !late {
		require.ErrorIs(t, out.Err, ErrSettled)
		return
	}
	require.NoError(t, out.Err)
	m.state[key] = s
	if s == ClaimNotRun {
		m.runs[key]--
	}
	if s == ClaimAnswered {
		m.answer[key] = body
	}
}

func (m *claimModel) check(t *rapid.T) {
	for key, s := range m.state {
		require.LessOrEqual(t, m.runs[key], 1, "key %s may have run twice", key)
		c, ok := m.rig.s.View().Claim("linen", key)
		require.True(t, ok)
		require.Equal(t, s, c.State)
		if s == ClaimAnswered {
			require.Equal(t, m.answer[key], string(c.Answer.Body))
		}
	}
}

func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{
			rig: newRig(t), body: map[string]string{}, runs: map[string]int{}, current: map[string]uint64{},
			answer: map[string]string{}, state: map[string]ClaimState{},
		}
		m.rig.carry(setTeam("linen", 1), setService("rota", 2))
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"claim":   m.claim,
			"settle":  m.settle,
			"expire":  func(*rapid.T) { m.rig.must(Command{Expire: &Expire{}}) },
			"restart": func(*rapid.T) { m.rig.restart() },
		})
	})
}
