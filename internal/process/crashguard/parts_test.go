package crashguard

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var partsStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func loss(engine int) Loss { return Loss{Engine: "e" + strconv.Itoa(engine), Incarnation: "1"} }

func verdict(p *Parts, now time.Time, parts ...uint64) Verdict {
	v, _ := p.Check(now, parts)
	return v
}

// Guards against a part that goes on crashing engines, and against one that is refused
// although other causes explain the losses.
func TestVerdictOnParts(t *testing.T) {
	const part, other = 7, 8
	type step struct {
		after    time.Duration
		lost     int // engine, or 0
		trial    bool
		answered bool
		survived int // engine, or 0
		want     Verdict
	}
	for name, steps := range map[string][]step{
		"lost in its trial":             {{lost: 1, want: AwaitTrial}, {after: time.Second / 2, lost: 2, trial: true, want: Refuse}},
		"lost three times":              {{lost: 1, want: AwaitTrial}, {after: 2 * time.Second, lost: 2, want: AwaitTrial}, {after: 2 * time.Second, lost: 3, want: Refuse}},
		"engines lost together":         {{lost: 1, want: AwaitTrial}, {after: time.Millisecond, lost: 2, want: AwaitTrial}, {lost: 3, want: AwaitTrial}, {lost: 4, want: AwaitTrial}},
		"the same loss again":           {{lost: 1, want: AwaitTrial}, {after: 2 * time.Second, lost: 1, want: AwaitTrial}, {after: 2 * time.Second, lost: 1, want: AwaitTrial}},
		"answered after a loss":         {{lost: 1, want: AwaitTrial}, {answered: true, want: Clear}},
		"answered just before a loss":   {{answered: true}, {after: time.Second, lost: 1, want: Clear}},
		"answered long before a loss":   {{answered: true}, {after: 3 * time.Second, lost: 1, want: AwaitTrial}},
		"answered between losses":       {{lost: 1, want: AwaitTrial}, {answered: true}, {after: 3 * time.Second, lost: 2, want: AwaitTrial}, {answered: true}, {after: 3 * time.Second, lost: 3, want: AwaitTrial}},
		"silent engine":                 {{lost: 1, want: AwaitTrial}, {survived: 1, want: Clear}},
		"silent engine after its trial": {{lost: 1, want: AwaitTrial}, {after: time.Second, lost: 2, trial: true, want: Refuse}, {survived: 2, want: AwaitTrial}},
		"forgotten":                     {{lost: 1, want: AwaitTrial}, {after: suspectTTL + time.Second, want: Clear}},
		"tried three times": {{lost: 1, want: AwaitTrial}, {after: time.Second, lost: 2, trial: true, want: Refuse}, {after: minRetrial, lost: 3, trial: true, want: Refuse},
			{after: 2 * minRetrial, lost: 4, trial: true, want: Refuse}, {after: 9 * time.Minute, want: Refuse}},
		"tried again": {{lost: 1, want: AwaitTrial}, {after: time.Second, lost: 2, trial: true, want: Refuse}, {after: minRetrial - time.Second, want: Refuse},
			{after: time.Second, want: AwaitTrial}, {lost: 3, trial: true, want: Refuse}, {after: 2*minRetrial - time.Second, want: Refuse}, {after: time.Second, want: AwaitTrial}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, now := NewParts(), partsStart
			for _, s := range steps {
				now = now.Add(s.after)
				switch {
				case s.lost > 0:
					p.EngineLost(now, loss(s.lost), []PartLoss{{Part: part, Trial: s.trial}})
				case s.answered:
					p.Answered(now, []uint64{part})
				case s.survived > 0:
					p.EngineSurvived(now, loss(s.survived))
				}
				is.Equal(verdict(p, now, other, part), s.want)
				is.Equal(verdict(p, now, other), Clear)
			}
		})
	}
}

// Guards against gateways that reach different verdicts because reports arrive in another order
// or late, and against a gateway that learns of less from a peer's table.
func TestOrderOfLossesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const parts = 3
		type event struct {
			engine int
			part   uint64
			trial  bool
			at     time.Duration
			// givenUp is set if the request was given up before the engine was lost.
			givenUp bool
		}
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{rapid.IntRange(1, 9).Draw(t, "engine"), rapid.Uint64Range(1, parts).Draw(t, "part"), rapid.Bool().Draw(t, "trial"), rapid.Just(time.Duration(0)).Draw(t, "at"), rapid.Bool().Draw(t, "givenUp")}
		}), 0, 12).Draw(t, "events")
		for i := range events {
			// One engine is lost at one time.
			events[i].at = time.Duration(events[i].engine) * 400 * time.Millisecond
		}
		end := partsStart.Add(10 * time.Second)
		inOrder, shuffled, copied := NewParts(), NewParts(), NewParts()
		for _, e := range events {
			inOrder.EngineLost(partsStart.Add(e.at), loss(e.engine), []PartLoss{{Part: e.part, Trial: e.trial, GivenUp: e.givenUp}})
		}
		for _, e := range rapid.Permutation(events).Draw(t, "order") {
			shuffled.EngineLost(end, loss(e.engine), []PartLoss{{Part: e.part, Trial: e.trial, GivenUp: e.givenUp, Age: 10*time.Second - e.at}})
		}
		for l, lost := range inOrder.Losses(end) {
			copied.EngineLost(end, l, lost)
		}
		for part := uint64(1); part <= parts; part++ {
			want := verdict(inOrder, end, part)
			if a, b := verdict(shuffled, end, part), verdict(copied, end, part); a != want || b != want {
				t.Fatalf("part %d: verdict %d in order, %d in another order, %d from a copy", part, want, a, b)
			}
		}
	})
}

// Guards against a table that grows with the parts that callers send.
func TestPartsAreBounded(t *testing.T) {
	is := is.New(t)
	p := NewParts()
	for i := range uint64(3 * maxParts) {
		p.EngineLost(partsStart, loss(int(i%50)), []PartLoss{{Part: i}})
		p.EngineLost(partsStart, loss(int(i)), []PartLoss{{Part: 1 << 40}})
		p.Answered(partsStart, []uint64{1<<41 + i})
	}
	is.True(p.suspects.Len() <= maxParts)
	is.True(p.proofs.Len() <= maxProofs)
	s, _ := p.suspects.Peek(1 << 40)
	is.Equal(len(s.losses), maxLosses)
}

// Guards against a part that is refused by itself for losses that it shares with another part,
// against two of them that are never refused together, and against a search that does not end:
// each lost trial rules a part out.
func TestPartsThatCameTogetherAreToldApart(t *testing.T) {
	is := is.New(t)
	const company, team, deadly, own = 1, 2, 3, 9
	now := time.Now()
	p := NewParts()
	lose := func(engine string, parts ...uint64) {
		var lost []PartLoss
		for _, part := range parts {
			lost = append(lost, PartLoss{Part: part, Trial: true})
		}
		p.EngineLost(now, Loss{Engine: engine, Incarnation: "1"}, lost)
	}
	verdict := func(parts ...uint64) Verdict {
		v, _ := p.Check(now, parts)
		return v
	}
	lose("e1", company, team, deadly)
	is.Equal(verdict(company, team, deadly, own), AwaitTrial)
	lose("e2", company, team, deadly)
	is.Equal(verdict(company, team, deadly, own), Refuse)
	is.Equal(verdict(company, own), AwaitTrial)
	is.Equal(verdict(company, deadly, own), AwaitTrial)
	lose("e3", company, deadly)
	is.Equal(verdict(company, deadly, own), Refuse)
	is.Equal(verdict(team, own), AwaitTrial)
	is.Equal(verdict(deadly, own), AwaitTrial)
	lose("e4", deadly)
	is.Equal(verdict(deadly, own), Refuse)
	is.Equal(verdict(company, team, own), AwaitTrial)
	p.Answered(now, []uint64{company, team, own})
	is.Equal(verdict(company, team, own), Clear)
	is.Equal(verdict(company, team, deadly, own), Refuse)
}

// Guards against a part that gets a trial more because another part that crashes engines was lost
// beside it.
func TestPartIsNotExplainedByAnotherTrial(t *testing.T) {
	is := is.New(t)
	const one, other, own = 1, 2, 9
	now := time.Now()
	p := NewParts()
	p.EngineLost(now, Loss{Engine: "e1"}, []PartLoss{{Part: one}, {Part: other}})
	p.EngineLost(now, Loss{Engine: "e2"}, []PartLoss{{Part: one, Trial: true}, {Part: other}})
	p.EngineLost(now, Loss{Engine: "e3"}, []PartLoss{{Part: other, Trial: true}})
	for _, part := range []uint64{one, other} {
		verdict, _ := p.Check(now, []uint64{part, own})
		is.Equal(verdict, Refuse)
	}
}

// Guards against a part, or a call, that goes on crashing servers for as long as its callers repeat it,
// once in each of its trials: three repeats may reach servers after the third crash.
func TestRetrialsAreBounded(t *testing.T) {
	p := NewParts()
	now := partsStart
	crashes := 0
	for range 6 * 60 { // six hours
		verdict, _ := p.Check(now, []uint64{1})
		if verdict == Refuse {
			p.Refused(now, []uint64{1})
		} else {
			crashes++
			p.EngineLost(now, Loss{Engine: "e", Incarnation: strconv.Itoa(crashes)}, []PartLoss{{Part: 1, Trial: verdict == AwaitTrial}})
		}
		now = now.Add(time.Minute)
	}
	if crashes > 6 {
		t.Errorf("the part crashed %d engines in six hours", crashes)
	}
	// An answer on the part, or ten minutes without it, end the refusal.
	if verdict, _ := p.Check(now.Add(suspectTTL), []uint64{1}); verdict != Clear {
		t.Errorf("verdict after ten minutes without the part: %v", verdict)
	}
}
