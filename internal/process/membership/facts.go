package membership

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FactKind tells what a fact is about.
type FactKind uint8

// The kinds of facts.
const (
	// FactHost is a row of the platform's host list.
	FactHost FactKind = iota + 1
	// FactReport is what a backend server last reported of itself.
	FactReport
	// FactPoller is, with Leaving set, an elected gateway that cannot read its
	// source, so that another one is elected.
	FactPoller
)

// FactKey names a fact.
type FactKey struct {
	Kind FactKind
	Name string
}

// Fact is a statement about a backend server that gossip carries. The highest
// version wins, whoever made it.
type Fact struct {
	FactKey
	// Version is the maker's clock in Unix milliseconds, and higher than the
	// version that the maker knew before.
	Version int64
	// Leaving is set by the host list for a leaving or removed host, and by a
	// report for a draining or unreachable one.
	Leaving bool

	// Address, DataCentre and Service are set with FactHost.
	Address    string
	DataCentre string
	Service    string

	// Models and Incarnation are set with FactReport of an engine.
	Models      []string
	Incarnation string
}

// same reports whether two facts differ at most in their versions.
func (f Fact) same(g Fact) bool {
	return f.FactKey == g.FactKey && f.Leaving == g.Leaving && f.Address == g.Address &&
		f.DataCentre == g.DataCentre && f.Service == g.Service &&
		f.Incarnation == g.Incarnation && slices.Equal(f.Models, g.Models)
}

// hash depends on key and version only.
func (f Fact) hash() uint64 {
	var b [9]byte
	b[0] = byte(f.Kind)
	binary.LittleEndian.PutUint64(b[1:], uint64(f.Version))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(f.Name)
	return d.Sum64()
}

const (
	// factLife is the time after which a fact that stops new work is dropped
	// unless it is restated. Other facts stay, however long the host list is out.
	factLife = time.Hour
	// restateAfter is the age at which the maker of such a fact states it again.
	restateAfter = 25 * time.Minute
	// freshFor is the time for which a new fact goes with every message, some 20
	// messages of each gateway. A fact that is still missing somewhere is found
	// by comparing digests.
	freshFor = 3 * time.Second
)

// expired reports whether a fact is to be dropped.
func (f Fact) expired(now time.Time) bool {
	return f.Leaving && now.UnixMilli()-f.Version > factLife.Milliseconds()
}

type knownFact struct {
	Fact
	learned time.Time
}

// Facts is a replicated map of facts. It is not safe for concurrent use.
type Facts struct {
	facts  map[FactKey]knownFact
	digest uint64
	keys   []FactKey // sorted, for the rotation
	next   int
}

func newFacts() *Facts { return &Facts{facts: map[FactKey]knownFact{}} }

// State publishes a fact unless it is known, and reports whether the content
// is new.
func (s *Facts) State(now time.Time, f Fact) bool {
	old, ok := s.facts[f.FactKey]
	changed := !ok || !old.same(f)
	restate := f.Leaving && now.UnixMilli()-old.Version >= restateAfter.Milliseconds()
	if !changed && !restate {
		return false
	}
	f.Version = max(now.UnixMilli(), old.Version+1)
	s.put(now, f)
	return changed
}

// Merge takes over a fact with a higher version and reports whether it did.
func (s *Facts) Merge(now time.Time, f Fact) bool {
	old, ok := s.facts[f.FactKey]
	if ok && old.Version >= f.Version {
		return false
	}
	if f.expired(now) {
		return false
	}
	s.put(now, f)
	return true
}

func (s *Facts) put(now time.Time, f Fact) {
	if old, ok := s.facts[f.FactKey]; ok {
		s.digest ^= old.hash()
	} else {
		i := sort.Search(len(s.keys), func(i int) bool { return !keyLess(s.keys[i], f.FactKey) })
		s.keys = slices.Insert(s.keys, i, f.FactKey)
	}
	s.digest ^= f.hash()
	s.facts[f.FactKey] = knownFact{f, now}
}

func keyLess(a, b FactKey) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.Name < b.Name
}

// Get returns a fact.
func (s *Facts) Get(k FactKey) (Fact, bool) {
	f, ok := s.facts[k]
	return f.Fact, ok
}

// Forget drops expired facts, and with the row of a host its old report.
func (s *Facts) Forget(now time.Time) {
	var drop []FactKey
	for _, k := range s.keys {
		if f := s.facts[k]; f.expired(now) {
			drop = append(drop, k)
		}
	}
	for _, k := range drop {
		s.drop(k)
		if k.Kind == FactHost {
			s.drop(FactKey{FactReport, k.Name})
		}
	}
}

func (s *Facts) drop(k FactKey) {
	f, ok := s.facts[k]
	if !ok {
		return
	}
	s.digest ^= f.hash()
	delete(s.facts, k)
	s.keys = slices.DeleteFunc(s.keys, func(o FactKey) bool { return o == k })
}

// fresh returns up to limit facts learned recently, the newest first.
func (s *Facts) fresh(now time.Time, limit int) []Fact {
	var recent []knownFact
	for _, f := range s.facts {
		if now.Sub(f.learned) <= freshFor {
			recent = append(recent, f)
		}
	}
	sort.Slice(recent, func(i, j int) bool {
		if !recent[i].learned.Equal(recent[j].learned) {
			return recent[i].learned.After(recent[j].learned)
		}
		return keyLess(recent[i].FactKey, recent[j].FactKey)
	})
	recent = recent[:min(len(recent), limit)]
	out := make([]Fact, len(recent))
	for i, f := range recent {
		out[i] = f.Fact
	}
	return out
}

// rotate returns the next facts in turn.
func (s *Facts) rotate(limit int) []Fact {
	out := make([]Fact, 0, min(limit, len(s.keys)))
	for range cap(out) {
		s.next = (s.next + 1) % len(s.keys)
		out = append(out, s.facts[s.keys[s.next]].Fact)
	}
	return out
}
