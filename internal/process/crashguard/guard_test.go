package crashguard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/process/crashguard"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against one request that crashes more than two engines when clients send it
// again to any gateway, and against refusing other requests because they ran on the
// same engine.
func TestOneRequestTakesDownTwoEnginesAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const crasher, innocents, gateways = 0, 5, 3
		var guards [gateways]*crashguard.Guard
		for i := range guards {
			guards[i] = crashguard.New()
		}
		now, lost := epoch, 0
		isolated := func(f uint64) bool { return guards[0].Check(now, f) == crashguard.Isolate }
		for range rapid.IntRange(1, 40).Draw(t, "resends") {
			now = now.Add(time.Duration(rapid.IntRange(1, 470).Draw(t, "seconds")) * time.Second)
			gateway := guards[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			verdict := gateway.Check(now, crasher)
			if verdict == crashguard.Refuse {
				if gateway.Refused(now, crasher) {
					for _, g := range guards {
						g.Merge(now, crashguard.Report{Refused: []uint64{crasher}})
					}
				}
				continue
			}
			running := []uint64{crasher}
			for f := uint64(1); f <= innocents; f++ {
				// An isolated request runs only on a replica with no other suspect.
				shares := rapid.Bool().Draw(t, "shares") && !(verdict == crashguard.Isolate && isolated(f))
				if shares {
					running = append(running, f)
				}
			}
			lost++
			incarnation := now.String()
			for i := range gateways { // every gateway detects the loss or receives the report, some both
				report := crashguard.Report{Loss: crashguard.Loss{Engine: "e", Incarnation: incarnation}, Fingerprints: running}
				guards[i].Merge(now, report)
				if rapid.Bool().Draw(t, "again") {
					guards[i].EngineLost(now, "e", incarnation, running)
				}
			}
			for f := uint64(1); f <= innocents; f++ {
				if gateway.Check(now, f) == crashguard.Refuse {
					t.Fatalf("request %d is refused but crashed no engine", f)
				}
				if rapid.Bool().Draw(t, "finishes") {
					for _, g := range guards {
						g.Merge(now, crashguard.Report{Finished: []uint64{f}})
					}
				}
			}
		}
		if lost > 2 {
			t.Fatalf("%d engines lost, want at most 2", lost)
		}
	})
}

// Guards against counting one loss twice because only some of its reporters know the
// engine's incarnation, and against suspects that never expire.
func TestSameLossCountsOnce(t *testing.T) {
	second := epoch.Add(time.Second)
	for name, c := range map[string]struct {
		engine, incarnation string
		at                  time.Time
		want                crashguard.Verdict
	}{
		"same report":         {"e", "1", second, crashguard.Isolate},
		"unknown incarnation": {"e", "", second, crashguard.Isolate},
		"unknown but later":   {"e", "", epoch.Add(time.Minute), crashguard.Refuse},
		"next start":          {"e", "2", second, crashguard.Refuse},
		"other engine":        {"f", "1", second, crashguard.Refuse},
		"after expiry":        {"e", "2", epoch.Add(11 * time.Minute), crashguard.Isolate},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := crashguard.New()
			is.Equal(g.Check(epoch, 7), crashguard.Clear)
			is.Equal(g.EngineLost(epoch, "e", "1", []uint64{7}), []uint64{7})
			g.EngineLost(c.at, c.engine, c.incarnation, []uint64{7})
			is.Equal(g.Check(c.at, 7), c.want)
			is.True(g.Finished(7))
			is.Equal(g.Check(c.at, 7), crashguard.Clear)
		})
	}
}

// Guards against a table that grows without bound as engines are lost.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	g := crashguard.New()
	for f := range uint64(20000) {
		g.EngineLost(epoch, "e", "1", []uint64{f})
	}
	is.Equal(len(g.Suspects(epoch)), 8192)
}
