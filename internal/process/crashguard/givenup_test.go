package crashguard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a server that ended while the gateway was frozen, and counts as one that has survived a send.
func TestSurvivalNeedsChecks(t *testing.T) {
	for name, c := range map[string]struct {
		broken bool
		checks []time.Duration
		want   bool
	}{
		"checked to the end":        {false, []time.Duration{100 * time.Millisecond, time.Second, 2800 * time.Millisecond}, true},
		"frozen after the first":    {false, []time.Duration{100 * time.Millisecond}, false},
		"never checked":             {false, nil, false},
		"connection that has ended": {true, []time.Duration{100 * time.Millisecond, 2800 * time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g GivenUp
			is.True(g.Add(loss(1), GivenUpSend{ID: "a", Parts: []uint64{7}, Broken: c.broken, At: partsStart}))
			for _, at := range c.checks {
				g.Alive(partsStart.Add(at), loss(1))
				g.Alive(partsStart.Add(10*time.Second), loss(2))
			}
			expired := g.Expire(partsStart.Add(givenUpLifetime + time.Second))
			is.Equal(len(expired), 1)
			is.Equal(expired[0].Survived(), c.want)
			is.True(!g.Waiting(loss(1)))
		})
	}
}

// Guards against a table that grows with the calls that callers give up.
func TestGivenUpIsBounded(t *testing.T) {
	is := is.New(t)
	var g GivenUp
	added := 0
	for i := range 3 * maxGivenUp {
		if g.Add(loss(i%5), GivenUpSend{At: partsStart}) {
			added++
		}
	}
	is.Equal(added, maxGivenUp)
	is.Equal(len(g.Ended(loss(0)))+len(g.Expire(partsStart.Add(time.Hour))), maxGivenUp)
	is.True(g.Add(loss(0), GivenUpSend{At: partsStart}))
}
