package memory

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/process/survival"
)

// A fixed seed makes the runs reproducible; -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against a residue in the sums after sequences were added, advanced and
// removed in any order. It would permanently reduce the usable memory of a replica.
func TestProjectionLeavesNoResidue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := survival.New(240)
		var p Projection
		var added []*Sequence
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch i := rapid.IntRange(0, 2+len(added)).Draw(t, "step"); {
			case i < 3:
				s := NewSequence(e, rapid.IntRange(0, 4000).Draw(t, "prompt"), 0, rapid.IntRange(0, 4000).Draw(t, "limit"))
				added = append(added, &s)
				p.Add(&s)
			default:
				s := added[i-3]
				e.Observe(s.Generated()+50, true)
				p.Advance(s, e, s.Generated()+rapid.IntRange(0, 500).Draw(t, "tokens"))
			}
		}
		for _, s := range added {
			p.Remove(s)
		}
		if p != (Projection{}) {
			t.Fatalf("projection without sequences is not zero: %+v", p)
		}
	})
}

// Guards against admission that takes the current or the projected use beyond the
// capacity, and against a candidate that fits a smaller but not a larger capacity.
func TestFitsRespectsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := survival.New(rapid.IntRange(1, 2000).Draw(t, "expected"))
		var p Projection
		capacity := rapid.IntRange(100, 50_000).Draw(t, "capacity")
		for range rapid.IntRange(1, 60).Draw(t, "candidates") {
			s := NewSequence(e, rapid.IntRange(1, 3000).Draw(t, "prompt"), 0, 0)
			fits := p.Fits(&s, capacity, 0)
			if fits && !p.Fits(&s, capacity*2, 0) {
				t.Fatal("candidate fits the capacity but not twice the capacity")
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
	is.True(p.Peak() <= 6000+float64(Horizons[horizonCount-1]))
	small := NewSequence(e, 10, 0, 10)
	is.True(p.Fits(&small, 11_000, 0))
	is.True(!p.Fits(&small, 6000, 0))
}

// Guards against ignoring sequences that another gateway granted, and against
// permanently counting released sequences that a lagging report still includes.
func TestReportCountsForeignSequences(t *testing.T) {
	is := is.New(t)
	e := survival.New(240)
	var p Projection
	s := NewSequence(e, 1000, 0, 0)
	p.Add(&s)
	p.Report(5000)
	is.Equal(p.Used(), 5000) // the larger of tracked use and report
	p.Advance(&s, e, 100)
	is.Equal(p.Used(), 5000) // the report already included the new tokens
	p.Advance(&s, e, 0)
	p.Report(400)
	is.Equal(p.Used(), 1000)

	p.Report(1000)
	p.Remove(&s)
	p.Report(1000) // still includes the released sequence
	is.Equal(p.Used(), 0)
	for range reportWindow {
		p.Report(1000)
	}
	is.Equal(p.Used(), 1000) // must belong to another gateway by now
}

// Guards against reserving memory for lengths that exceed the limit of the sequence.
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
