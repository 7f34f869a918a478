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
	harness          *harness
	weights          map[string]int          // current weight by team
	revision         uint64                  // revision of the last change
	requestedWeights map[string]int          // requested weight by operator and intent id
	plans            map[string]expectedPlan // expected plans by id
}

type expectedPlan struct {
	operator string
	team     string
	weight   int
	base     uint64
	deadline time.Time
	final    *model.Plan // final answer, once there is one
}

// submitIntent submits an intent. Ids and weights are drawn from small sets, so
// that they collide often.
func (m *planModel) submitIntent(t *rapid.T) {
	operator := rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator")
	team := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")
	id := team + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "id")
	weight := rapid.IntRange(1, 2).Draw(t, "weight")
	out := m.harness.plan(operator, id, setTeam(team, weight))
	key := operator + id
	if previous, ok := m.requestedWeights[key]; ok && previous != weight {
		require.ErrorIs(t, out.Err, ErrIntentReused)
		return
	}
	if _, ok := m.requestedWeights[key]; ok {
		m.checkResent(t, out)
		return
	}
	require.NoError(t, out.Err)
	require.Equal(t, m.revision, out.Plan.BaseRevision)
	m.requestedWeights[key] = weight
	m.plans[out.Plan.ID] = expectedPlan{
		operator: operator, team: team, weight: weight, base: out.Plan.BaseRevision, deadline: out.Plan.Deadline,
	}
}

// checkResent checks the result for a resent intent.
func (m *planModel) checkResent(t *rapid.T, out Result) {
	want := m.plans[out.Plan.ID]
	if want.final != nil {
		require.Equal(t, want.final, out.Plan)
		return
	}
	if m.harness.now.Before(want.deadline) {
		require.Equal(t, model.PlanOpen, out.Plan.State)
		return
	}
	require.ErrorIs(t, out.Err, ErrExpired)
	want.final = out.Plan
	m.plans[out.Plan.ID] = want
}

func (m *planModel) confirm(t *rapid.T) {
	if len(m.plans) == 0 {
		t.Skip()
	}
	id := rapid.SampledFrom(sortedKeys(m.plans)).Draw(t, "plan")
	p := m.plans[id]
	out := m.harness.confirm(p.operator, id)
	switch {
	case p.final != nil:
		require.Equal(t, p.final, out.Plan)
	case !m.harness.now.Before(p.deadline):
		require.ErrorIs(t, out.Err, ErrExpired)
	case p.base != m.revision:
		require.ErrorIs(t, out.Err, ErrConflict)
		require.Contains(t, out.Err.Error(), fmt.Sprintf("revision %d by plan", p.base+1))
	default:
		require.NoError(t, out.Err)
		m.revision++
		m.weights[p.team] = p.weight
		require.Equal(t, m.revision, out.Plan.Revision)
	}
	p.final = out.Plan
	m.plans[id] = p
}

func (m *planModel) check(t *rapid.T) {
	v := m.harness.state.View()
	require.Equal(t, m.revision, v.Revision())
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
			harness: newHarness(t), weights: map[string]int{}, requestedWeights: map[string]int{}, plans: map[string]expectedPlan{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"ask":     m.submitIntent,
			"confirm": m.confirm,
			"wait": func(t *rapid.T) {
				m.harness.now = m.harness.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "minutes")) * time.Minute)
			},
			"expire":  func(*rapid.T) { m.harness.mustApply(Command{Expire: &Expire{Limit: 3}}) },
			"restart": func(*rapid.T) { m.harness.restart() },
		})
	})
}

// claimModel models claims and counts the attempts that may have run.
type claimModel struct {
	harness       *harness
	bodies        map[string]string // body of the first request, by key
	possibleRuns  map[string]int    // attempts that were granted and may have run, by key
	currentEpochs map[string]uint64 // current epoch, by key
	epochs        []uint64          // all granted epochs
	answers       map[string]string // stored answer, by key
	states        map[string]ClaimState
}

func (m *claimModel) claim(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	body := rapid.SampledFrom([]string{"h", "h", "h", "g"}).Draw(t, "body")
	attempt := fmt.Sprint(m.harness.index)
	out := m.harness.claim(key, body, attempt)
	if previous, ok := m.bodies[key]; ok && previous != body {
		require.ErrorIs(t, out.Err, ErrKeyReused)
		return
	}
	require.NoError(t, out.Err)
	m.bodies[key] = body
	grantable := m.states[key] == "" || m.states[key] == ClaimNotRun
	require.Equal(t, grantable, out.Claim.Granted)
	if !grantable {
		require.Equal(t, m.states[key], out.Claim.Claim.State)
		return
	}
	require.Greater(t, out.Claim.Claim.Epoch, m.currentEpochs[key])
	m.currentEpochs[key] = out.Claim.Claim.Epoch
	m.epochs = append(m.epochs, out.Claim.Claim.Epoch)
	m.states[key] = ClaimInFlight
	m.possibleRuns[key]++
}

func (m *claimModel) settle(t *rapid.T) {
	if len(m.epochs) == 0 {
		t.Skip()
	}
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	epoch := rapid.SampledFrom(m.epochs).Draw(t, "epoch")
	s := rapid.SampledFrom([]ClaimState{ClaimAnswered, ClaimNotRun, ClaimUnknown}).Draw(t, "state")
	body := fmt.Sprint(m.harness.index)
	out := m.harness.settle(key, epoch, s, body)
	if m.states[key] == "" {
		require.ErrorIs(t, out.Err, ErrNotFound)
		return
	}
	if epoch != m.currentEpochs[key] {
		require.ErrorIs(t, out.Err, ErrFenced)
		return
	}
	lateAnswer := m.states[key] == ClaimUnknown && s == ClaimAnswered
	if m.states[key] != ClaimInFlight && !lateAnswer {
		require.ErrorIs(t, out.Err, ErrSettled)
		return
	}
	require.NoError(t, out.Err)
	m.states[key] = s
	if s == ClaimNotRun {
		m.possibleRuns[key]--
	}
	if s == ClaimAnswered {
		m.answers[key] = body
	}
}

func (m *claimModel) check(t *rapid.T) {
	for key, s := range m.states {
		require.LessOrEqual(t, m.possibleRuns[key], 1, "key %s may have run twice", key)
		c, ok := m.harness.state.View().Claim("linen", key)
		require.True(t, ok)
		require.Equal(t, s, c.State)
		if s == ClaimAnswered {
			require.Equal(t, m.answers[key], string(c.Answer.Body))
		}
	}
}

func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{
			harness: newHarness(t), bodies: map[string]string{}, possibleRuns: map[string]int{}, currentEpochs: map[string]uint64{},
			answers: map[string]string{}, states: map[string]ClaimState{},
		}
		m.harness.mustConfirm(setTeam("linen", 1), setService("rota", 2))
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"claim":   m.claim,
			"settle":  m.settle,
			"expire":  func(*rapid.T) { m.harness.mustApply(Command{Expire: &Expire{}}) },
			"restart": func(*rapid.T) { m.harness.restart() },
		})
	})
}
