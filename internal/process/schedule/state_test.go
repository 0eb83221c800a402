package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Guards against a state shown to operators that counts only this owner's sequences, has
// a batch bound that is not in effect, or includes replicas that have left the group.
func TestStateOfReplicas(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 2, 8, 0)
	enqueueN(g, start, "q", 1, catalogue.Urgent)
	is.Equal(len(g.Dispatch(start)), 1)
	for at := range int64(reportWindow) {
		g.Report(start, "r000", api.LoadReport{ReportedAtMS: at + 1, StepMS: 24, Running: 4, MaxBatch: 8})
	}
	g.replicas["r001"].coolingDown = true
	state := g.State(start)
	is.Equal(state["r000"], ReplicaState{Running: 4, BatchBound: 8})
	is.Equal(state["r001"], ReplicaState{BatchBound: 8, Resting: true})
	g.SetReplicas(start, testReplicas(1, 8, 0))
	is.Equal(len(g.State(start)), 1)
	g.beginSlowStart(start, g.replicas["r000"])
	is.Equal(g.State(start.Add(time.Millisecond))["r000"].BatchBound, 2) // slow start from a quarter
	baseline := testGroup(Options{Policy: PolicyBaseline}, 1, 8, 0)
	is.Equal(baseline.State(start)["r000"].BatchBound, 0)
}
