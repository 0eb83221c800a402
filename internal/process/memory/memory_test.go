package memory

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/process/survival"
)

// One seed gives the same verdict on every run; -rapid.seed selects another.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against residue in the sums after sequences were added, advanced and
// removed in any order, which would shrink a replica for good.
func TestProjectionLeavesNoResidue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := survival.New(240)
		var p Projection
		var held []*Sequence
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch i := rapid.IntRange(0, 2+len(held)).Draw(t, "step"); {
			case i < 3:
				s := NewSequence(e, rapid.IntRange(0, 4000).Draw(t, "prompt"), 0, rapid.IntRange(0, 4000).Draw(t, "limit"))
				held = append(held, &s)
				p.Add(&s)
			default:
				s := held[i-3]
				e.Observe(s.Generated()+50, true)
				p.Advance(s, e, s.Generated()+rapid.IntRange(0, 500).Draw(t, "tokens"))
			}
		}
		for _, s := range held {
			p.Remove(s)
		}
		if p != (Projection{}) {
			t.Fatalf("left over: %+v", p)
		}
	})
}

// Guards against admission beyond the tokens that are certainly in use, and
// against a candidate that fits a smaller but not a larger capacity.
func TestFitsRespectsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := survival.New(rapid.IntRange(1, 2000).Draw(t, "expected"))
		var p Projection
		capacity := rapid.IntRange(100, 50_000).Draw(t, "capacity")
		for range rapid.IntRange(1, 60).Draw(t, "candidates") {
			s := NewSequence(e, rapid.IntRange(1, 3000).Draw(t, "prompt"), 0, 0)
			fits := p.Fits(&s, capacity, 0)
			if fits && !p.Fits(&s, capacity*2, 0) {
				t.Fatal("fits the smaller capacity only")
			}
			if fits {
				p.Add(&s)
			}
			if p.Used() > capacity || p.Peak() > float64(capacity) {
				t.Fatalf("uses %d, peak %.0f of %d tokens", p.Used(), p.Peak(), capacity)
			}
		}
	})
}

// Guards against refusing a small request because one large sequence is
// projected to use more than it can.
func TestProjectionIsAtMostTheSum(t *testing.T) {
	is := is.New(t)
	e := survival.New(240)
	var p Projection
	s := NewSequence(e, 6000, 0, 0)
	p.Add(&s)
	is.True(p.Peak() <= 6000+float64(Horizons[horizons-1]))
	small := NewSequence(e, 10, 0, 10)
	is.True(p.Fits(&small, 11_000, 0))
	is.True(!p.Fits(&small, 6000, 0))
}

// Guards against overlooking sequences that another gateway granted, and
// against counting for good those that a lagging report still holds.
func TestReportCountsForeignSequences(t *testing.T) {
	is := is.New(t)
	e := survival.New(240)
	var p Projection
	s := NewSequence(e, 1000, 0, 0)
	p.Add(&s)
	p.Report(5000)
	is.Equal(p.Used(), 5000) // the larger of the two views
	p.Advance(&s, e, 100)
	is.Equal(p.Used(), 5000) // tokens known late were in the report
	p.Advance(&s, e, 0)
	p.Report(400)
	is.Equal(p.Used(), 1000)

	p.Report(1000)
	p.Remove(&s)
	p.Report(1000) // still counts the released sequence
	is.Equal(p.Used(), 0)
	for range reportMemory {
		p.Report(1000)
	}
	is.Equal(p.Used(), 1000) // now it must be somebody else's
}

// Guards against room lost to lengths that the limit rules out.
func TestLimitBoundsProjection(t *testing.T) {
	is := is.New(t)
	e := survival.New(2000)
	short := NewSequence(e, 100, 0, 60)
	var p Projection
	is.True(p.Fits(&short, 100, 0))
	long := NewSequence(e, 100, 0, 0)
	is.True(!p.Fits(&long, 1000, 0))
	is.True(!p.Fits(&short, 150, 100)) // the reserve stays free
}
