package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against statements that return to who told them or circle between relays, against one that replaces a newer
// one, and against statements in proportion to the servers: with a thousand, a gateway gets no more of them than with ten.
func TestStatementsArePassedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var b statementBoard
	is.True(b.note(now, ServerStatement{Server: "own"}, "", ownStatements))
	is.True(b.note(now, ServerStatement{Server: "follower's"}, "f", localStatements))
	is.True(b.note(now, ServerStatement{Server: "far"}, "r", allStatements))
	is.True(!b.note(now.Add(statementSpan/2), ServerStatement{Server: "far"}, "g", allStatements))
	is.Equal(len(b.take(now, "relay", localStatements)), 2)
	is.Equal(len(b.take(now, "f", allStatements)), 2)
	is.Equal(len(b.take(now, "f", allStatements)), 0)
	is.Equal(len(b.take(now, allPeers, ownStatements)), 1)
	is.Equal(len(b.take(now.Add(maxStatementAge), "new", allStatements)), 0)
	for _, servers := range []int{10, 1000} {
		passed := map[string]int{}
		for i := range 100 { // 10 s
			now = now.Add(100 * time.Millisecond)
			for s := range servers {
				b.note(now, ServerStatement{Server: fmt.Sprint(servers, "-", s)}, "", ownStatements)
			}
			for _, s := range b.take(now, "follower", allStatements) {
				is.True(i == 0 || s.AgeMS == 0)
				passed[s.Server]++
			}
		}
		sum := 0
		for _, n := range passed {
			sum += n
		}
		is.True(sum <= 10*statementRate+maxStatements)
		is.True(len(passed) >= min(servers, sum/2)) // not the same ones again
	}
}

// Guards against statements that take a notable part of a gateway's 17 KB/s, in and out.
func TestBytesOfStatements(t *testing.T) {
	s := ServerStatement{Server: "application-server-12", Incarnation: time.Now().UnixMilli(), AgeMS: 400, Running: 5, Waiting: 12, Slots: 6, SlowdownPercent: 240}
	in := FetchLoadsArgs{Gateway: "gateway-123", DataCentre: "region-1-centre-4", Incarnation: s.Incarnation, Since: 1 << 20}
	bytes := func(n int) int {
		statements := make([]ServerStatement, n)
		for i := range statements {
			statements[i] = s
		}
		return size(t, "Scheduler.FetchLoads", in, FetchLoadsReply{Incarnation: 1, Sequence: 1 << 20, Statements: statements})
	}
	each := (bytes(maxStatements) - bytes(0)) / maxStatements
	t.Logf("%d bytes each, %.1f KB/s at most", each, float64(each*statementRate)/1e3)
	if each*statementRate > 17_000/8 {
		t.Errorf("statements take %d bytes/s", each*statementRate)
	}
}
