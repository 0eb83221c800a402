package owner_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/request/api"
)

func startedBefore(a, b string) bool {
	x, errX := strconv.Atoi(a)
	y, errY := strconv.Atoi(b)
	return errX == nil && errY == nil && x < y
}

// Guards against a report from before an engine's restart that another gateway passes on late, as a relay does to a gateway that
// has just started: the engine got no new work, since it had been draining before.
func TestPassedOnReportFromBeforeARestart(t *testing.T) {
	const present, earlier = "2000", "1000"
	for way, pass := range map[string]func(*owner.Service, *owner.LoadsArgs) error{
		"message": func(s *owner.Service, in *owner.LoadsArgs) error { return s.Loads(in, new(owner.Empty)) },
		"relay":   func(s *owner.Service, in *owner.LoadsArgs) error { return s.PushLoads(in, new(owner.Empty)) },
	} {
		t.Run(way, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4)
				defer f.stop()
				f.engines.starts["e1"], _ = strconv.Atoi(present)
				f.changeOptions = func(o owner.Options) owner.Options {
					o.ExpectPeers, o.StartedBefore = true, startedBefore
					assumed := o.AssumedReport
					o.AssumedReport = func(engine string) api.LoadReport {
						r := assumed(engine)
						r.Incarnation = present
						return r
					}
					return o
				}
				a, ra := f.startShared("a")
				ra.Sync(time.Now(), engineList("e1"))
				number := uint64(0)
				report := func(incarnation string, draining bool) {
					number++
					r := api.LoadReport{Name: "e1", Models: []string{"m"}, MaxBatch: 4, KVCapacityTokens: 1000, Incarnation: incarnation, Draining: draining}
					is.NoErr(pass(a.Service(), &owner.LoadsArgs{Gateway: "b", Incarnation: 1, Number: number, Reports: []api.LoadReport{r}}))
				}
				report(earlier, true)
				_, err := a.acquire("placed", 0, 100*time.Millisecond)
				is.NoErr(err)
				report(present, true) // the engine's later word
				_, err = a.acquire("refused", 0, 100*time.Millisecond)
				is.True(err != nil)
			})
		})
	}
}

// Guards against a relay that replaces an engine's report by one from before its restart.
func TestRelayKeepsTheReportOfTheLatestStart(t *testing.T) {
	is := is.New(t)
	b := owner.NewRelayBuffer(startedBefore)
	now := time.Unix(1000, 0)
	for i, incarnation := range []string{"1000", "2000", "1000", "unknown", "2000"} {
		number := uint64(i + 1)
		b.Add(now, &owner.LoadsArgs{Gateway: "a", Incarnation: 1, Number: number, Reports: []api.LoadReport{{Name: "e1", Incarnation: incarnation}}}, true)
		_, reports := b.Since(now, 0, "c", false)
		is.Equal(len(reports), 1)
		is.Equal(reports[0].Incarnation, []string{"1000", "2000", "2000", "unknown", "2000"}[i])
	}
}
