package schedule

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

const (
	floodLength = 60_000 // ms; the flood begins after a third of it
	// floodCapacity is the rate in requests per ms that dataCentreFleet can serve.
	floodCapacity    = 0.0282
	urgentTimeout    = 465 * time.Millisecond
	floodSeeds       = 6
	floodTokensMean  = 190
	floodTokensLimit = 2000
)

var floodOptions = Options{BackgroundFloor: 0.1, UrgentReserve: 0.1}

// fullBatchFirstToken returns the time until the first token in ms without waiting for a
// replica: the step in progress and the request's first step, both with a full batch.
func fullBatchFirstToken(f simFleet) float64 {
	return 2 * (f.stepBase + f.stepPerSequence*float64(f.batch))
}

func floodStream(workspaces []string, class catalogue.Class, load, from float64, timeout time.Duration) *simArrivals {
	return &simArrivals{
		workspaces: workspaces, class: class, rate: load * floodCapacity, from: from, timeout: timeout,
		prompt: logNormal(150, 0.5, 600), length: logNormal(120, 1, floodTokensLimit),
		limit: floodTokensLimit, expected: floodTokensMean,
	}
}

// largeWorkspaces returns a load in which two of ten workspaces send 20 times their share.
func largeWorkspaces() []*simArrivals {
	return []*simArrivals{
		floodStream(workspaceNames("small", 8), catalogue.Urgent, 0.48, 0, urgentTimeout),
		floodStream(workspaceNames("large", 2), catalogue.Urgent, 0.12, 0, urgentTimeout),
		floodStream(workspaceNames("large", 2), catalogue.Urgent, 4, floodLength/3, urgentTimeout),
	}
}

// backgroundFlood returns a load with background work of 4 times the capacity, sent by
// three of the workspaces that send urgent work too.
func backgroundFlood() []*simArrivals {
	calm := floodStream(workspaceNames("urgent", 10), catalogue.Background, 0.1, 0, 7500*time.Millisecond)
	flood := floodStream(workspaceNames("urgent", 3), catalogue.Background, 4, floodLength/3, 7500*time.Millisecond)
	calm.label, flood.label = "background", "background"
	return []*simArrivals{floodStream(workspaceNames("urgent", 10), catalogue.Urgent, 0.4, 0, urgentTimeout), calm, flood}
}

// firstToken returns a percentile, from 0 to 1, of the times until the first token in ms
// over all workspaces whose names have the prefix.
func (s *simulation) firstToken(prefix string, percentile float64) float64 {
	var all []float64
	for name, waits := range s.waits {
		if strings.HasPrefix(name, prefix) {
			all = append(all, waits...)
		}
	}
	if len(all) == 0 {
		return math.Inf(1)
	}
	slices.Sort(all)
	return all[int(percentile*float64(len(all)-1))]
}

// Guards against urgent work and small workspaces that wait until a running generation
// ends, although engines run work that yields to them. The goals of the design page are
// multiples of the first token time of a full batch without queueing, because the steps
// of a full batch are longer than those of a fleet with little load.
func TestFloodLeavesFirstTokens(t *testing.T) {
	for name, c := range map[string]struct {
		load   func() []*simArrivals
		prefix string
		goal   float64
	}{
		"two large workspaces": {largeWorkspaces, "small", 1.25},
		"background flood":     {backgroundFlood, "urgent", 1.2},
	} {
		t.Run(name, func(t *testing.T) {
			limit := c.goal * fullBatchFirstToken(dataCentreFleet)
			for seed := range int64(floodSeeds) {
				s := simulate(dataCentreFleet, floodOptions, seed+1, floodLength, c.load()...)
				got := s.firstToken(c.prefix, 0.95)
				t.Logf("seed %d: first token p50 %.0f, p95 %.0f, p99 %.0f ms; %d preemptions, stall %.0f ms, slots %.2f",
					seed+1, s.firstToken(c.prefix, 0.5), got, s.firstToken(c.prefix, 0.99), s.preemptions, s.stall, s.slotsInUse())
				if got > limit {
					t.Errorf("seed %d: first token p95 %.0f ms, want at most %.0f ms", seed+1, got, limit)
				}
			}
		})
	}
}

// slotsInUse returns the fraction of the batch slots in use during the second half.
func (s *simulation) slotsInUse() float64 {
	return s.slotTime / s.halfLength / float64(s.batch*s.replicas)
}

// Guards against refusing background work of small workspaces because large ones have
// filled the queue.
func TestFullQueueKeepsSmallWorkspaces(t *testing.T) {
	is := is.New(t)
	o := floodOptions
	o.QueueBound = 100
	load := func() []*simArrivals {
		return []*simArrivals{
			floodStream(workspaceNames("small", 8), catalogue.Background, 0.2, 0, 7500*time.Millisecond),
			floodStream(workspaceNames("large", 2), catalogue.Background, 4, floodLength/3, 7500*time.Millisecond),
		}
	}
	for seed := range int64(3) {
		s := simulate(dataCentreFleet, o, seed+1, floodLength, load()...)
		refused, served := 0, 0
		for _, name := range workspaceNames("small", 8) {
			refused += s.refused[name]
			served += len(s.waits[name])
		}
		t.Logf("seed %d: small workspaces: %d refused, %d served, first token p95 %.0f ms", seed+1, refused, served, s.firstToken("small", 0.95))
		is.True(refused*100 <= served)
	}
}
