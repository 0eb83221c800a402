package owner

import (
	"reflect"
	"slices"
	"time"

	"persimmonwing/internal/request/api"
)

// relayBuffer holds the newest loads of each gateway and the newest report of each engine
// for the gateways that fetch them from this one. Each change gets a sequence number, so
// that a caller receives only what is new since its last call.
//
// Load pattern: with n gateways that send their loads to each other, each of them handles
// n messages per interval. Through relays it handles one.
type relayBuffer struct {
	// startedBefore is that of Options.
	startedBefore func(a, b string) bool

	sequence uint64
	loads    map[string]bufferedLoads
	reports  map[string]bufferedReport
}

// bufferedLoads are the newest loads of a gateway, encoded by encodeLoads.
type bufferedLoads struct {
	encoded     []byte
	incarnation int64
	number      uint64
	broken      map[string]time.Duration
	demands     []GroupDemand
	// uses are those of the newest message that has any, which was added at usesSequence.
	uses         []byte
	usesSequence uint64
	usesAt       time.Time
	sequence     uint64
	// changedAt is the sequence number at which the loads last differed from those before.
	changedAt  uint64
	receivedAt time.Time
	// local is set for the gateways of this data centre. Only their loads are passed on to
	// relays of other data centres.
	local bool
}

// bufferedReport is the newest report of an engine.
type bufferedReport struct {
	report     api.LoadReport
	from       string
	sequence   uint64
	changedAt  uint64
	receivedAt time.Time
	local      bool
}

// add replaces the loads of a gateway, unless the buffer holds newer ones. Loads that only confirm the ones
// before do not count as a change.
func (b *relayBuffer) add(now time.Time, in *LoadsArgs, local bool) {
	old, known := b.loads[in.Gateway]
	if known && !in.newerThan(old.incarnation, old.number) {
		return
	}
	if b.loads == nil {
		b.loads = map[string]bufferedLoads{}
	}
	b.sequence++
	next := bufferedLoads{encoded: encodeLoads(in), incarnation: in.Incarnation, number: in.Number, broken: in.Broken, demands: in.Demands, sequence: b.sequence, changedAt: b.sequence, receivedAt: now, local: local}
	if known && old.incarnation == next.incarnation && sameLoads(old.encoded, next.encoded) && len(old.broken)+len(next.broken)+len(old.demands)+len(next.demands) == 0 {
		next.changedAt = old.changedAt
	}
	if len(in.Uses) > 0 {
		next.uses, next.usesSequence, next.usesAt = in.Uses, b.sequence, now
	} else if now.Sub(old.usesAt) < loadsTTL {
		next.uses, next.usesSequence, next.usesAt = old.uses, old.usesSequence, old.usesAt
	}
	b.loads[in.Gateway] = next
	b.addReports(now, in.Reports, in.Gateway, local)
}

// addReports replaces the reports of engines. from is the gateway that has polled them, or
// "" if a relay has passed them on.
func (b *relayBuffer) addReports(now time.Time, reports []api.LoadReport, from string, local bool) {
	if len(reports) == 0 {
		return
	}
	if b.reports == nil {
		b.reports = map[string]bufferedReport{}
	}
	b.sequence++
	for _, r := range reports {
		old, known := b.reports[r.Name]
		if known && b.startedBefore != nil && b.startedBefore(r.Incarnation, old.report.Incarnation) {
			continue
		}
		changedAt := b.sequence
		if known && sameReport(old.report, r) {
			changedAt = old.changedAt
		}
		b.reports[r.Name] = bufferedReport{r, from, b.sequence, changedAt, now, local}
	}
}

// since returns the loads and reports that were added after a sequence number, without
// those of the caller itself. A caller of another data centre receives only those of this
// data centre.
func (b *relayBuffer) since(now time.Time, sequence uint64, caller string, onlyLocal bool) (loads []RelayedLoads, reports []api.LoadReport) {
	for gateway, l := range b.loads {
		if l.sequence > sequence && gateway != caller && (l.local || !onlyLocal) {
			relayed := RelayedLoads{Encoded: l.encoded, Broken: remaining(l.broken, now.Sub(l.receivedAt)), Demands: laterDemands(l.demands, now.Sub(l.receivedAt))}
			if l.usesSequence > sequence {
				relayed.Uses = l.uses
			}
			loads = append(loads, relayed)
		}
	}
	for _, r := range b.reports {
		if r.sequence > sequence && r.from != caller && (r.local || !onlyLocal) {
			reports = append(reports, r.report)
		}
	}
	return loads, reports
}

// sameReport reports whether two reports of an engine differ in their time at most.
func sameReport(a, b api.LoadReport) bool {
	models := slices.Equal(a.Models, b.Models)
	a.Models, b.Models, a.ReportedAtMS, b.ReportedAtMS = nil, nil, 0, 0
	return models && reflect.DeepEqual(a, b)
}

// changedSince reports whether since would return a change for the caller, and not only loads and reports
// that confirm the ones before.
func (b *relayBuffer) changedSince(sequence uint64, caller string, onlyLocal bool) bool {
	for gateway, l := range b.loads {
		if l.changedAt > sequence && gateway != caller && (l.local || !onlyLocal) {
			return true
		}
	}
	for _, r := range b.reports {
		if r.changedAt > sequence && r.from != caller && (r.local || !onlyLocal) {
			return true
		}
	}
	return false
}

// expire removes what is older than loadsTTL, so that a gateway that calls for the first
// time does not receive the loads of gateways that have ended.
func (b *relayBuffer) expire(now time.Time) {
	for gateway, l := range b.loads {
		if now.Sub(l.receivedAt) > loadsTTL {
			delete(b.loads, gateway)
		}
	}
	for engine, r := range b.reports {
		if now.Sub(r.receivedAt) > loadsTTL {
			delete(b.reports, engine)
		}
	}
}

// laterDemands returns demands as they are after elapsed.
func laterDemands(demands []GroupDemand, elapsed time.Duration) []GroupDemand {
	var out []GroupDemand
	for _, d := range demands {
		out = append(out, GroupDemand{d.Group, d.Demand.Later(elapsed)})
	}
	return out
}

// remaining returns the times in broken that are left after elapsed.
func remaining(broken map[string]time.Duration, elapsed time.Duration) map[string]time.Duration {
	var out map[string]time.Duration
	for engine, d := range broken {
		if d <= elapsed {
			continue
		}
		if out == nil {
			out = make(map[string]time.Duration, len(broken))
		}
		out[engine] = d - elapsed
	}
	return out
}
