package membership

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FactKind is the subject of a fact.
type FactKind uint8

// The kinds of facts.
const (
	// FactHost is a row of the platform's host list.
	FactHost FactKind = iota + 1
	// FactReport is the latest report of a backend server about itself.
	FactReport
	// FactPoller, with Leaving set, marks an elected gateway that cannot read its
	// source, so that another one is elected.
	FactPoller
)

// FactKey identifies a fact.
type FactKey struct {
	Kind FactKind
	Name string
}

// Fact is a versioned record about a backend server or a poller that is replicated by
// gossip. The highest version wins, whichever gateway published it.
type Fact struct {
	FactKey
	// Version is the publisher's clock in Unix milliseconds, or one more than the
	// version that the publisher knew before if that is higher.
	Version int64
	// Leaving is set in a FactHost if the host is listed as leaving or was removed from
	// the list, and in a FactReport if the server is draining or unreachable.
	Leaving bool

	// Address, DataCentre and Service are set for FactHost.
	Address    string
	DataCentre string
	Service    string

	// Models and Incarnation are set for FactReport of an engine.
	Models      []string
	Incarnation string
	// ColdMS is the time in milliseconds for which the server of a FactReport was cold when it was published. It
	// counts from the fact's arrival, so that it ends rather too late than too early.
	ColdMS int64
}

// same reports whether two facts differ at most in their versions.
func (f Fact) same(g Fact) bool {
	return f.FactKey == g.FactKey && f.Leaving == g.Leaving && f.Address == g.Address &&
		f.DataCentre == g.DataCentre && f.Service == g.Service &&
		f.Incarnation == g.Incarnation && f.ColdMS == g.ColdMS && slices.Equal(f.Models, g.Models)
}

// hash returns a hash of the key and the version.
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
	// factTTL is the time after which a fact with Leaving set, which stops new requests
	// to a server, is removed unless it is published again. Other facts never expire, so
	// that servers stay known however long the host list is unavailable.
	factTTL = time.Hour
	// republishAfter is the age at which a gateway that still observes a fact with
	// Leaving set publishes it again.
	republishAfter = 25 * time.Minute
	// freshFor is the time for which a new fact is included in every message, about 20
	// messages of each gateway. Gateways that still lack the fact then receive it
	// because their digests differ.
	freshFor = 3 * time.Second
)

// expired reports whether a fact has Leaving set and is older than factTTL.
func (f Fact) expired(now time.Time) bool {
	return f.Leaving && now.UnixMilli()-f.Version > factTTL.Milliseconds()
}

type knownFact struct {
	Fact
	learnedAt time.Time
}

// Facts is a replicated map of facts. It is not safe for concurrent use.
type Facts struct {
	facts  map[FactKey]knownFact
	digest uint64
	keys   []FactKey // sorted, for the rotation
	next   int
	// cold holds the servers whose reports state that they are cold.
	cold map[string]bool
}

func newFacts() *Facts { return &Facts{facts: map[FactKey]knownFact{}, cold: map[string]bool{}} }

// State publishes a fact with a new version, unless its content is already known and
// needs no republishing. It reports whether the content is new.
func (s *Facts) State(now time.Time, f Fact) bool {
	old, ok := s.facts[f.FactKey]
	changed := !ok || !old.same(f)
	republish := f.Leaving && now.UnixMilli()-old.Version >= republishAfter.Milliseconds()
	if !changed && !republish {
		return false
	}
	f.Version = max(now.UnixMilli(), old.Version+1)
	s.put(now, f)
	return changed
}

// Merge stores a fact from a peer if its version is higher than the known one and it
// has not expired. It reports whether the fact was stored.
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
	if f.Kind == FactReport && f.ColdMS > 0 {
		s.cold[f.Name] = true
	} else if f.Kind == FactReport {
		delete(s.cold, f.Name)
	}
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

// RemoveExpired removes expired facts. With the FactHost of a host it also removes its
// FactReport.
func (s *Facts) RemoveExpired(now time.Time) {
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
	if k.Kind == FactReport {
		delete(s.cold, k.Name)
	}
	delete(s.facts, k)
	s.keys = slices.DeleteFunc(s.keys, func(o FactKey) bool { return o == k })
}

// fresh returns up to limit facts that were stored within freshFor, the newest first.
func (s *Facts) fresh(now time.Time, limit int) []Fact {
	var recent []knownFact
	for _, f := range s.facts {
		if now.Sub(f.learnedAt) <= freshFor {
			recent = append(recent, f)
		}
	}
	sort.Slice(recent, func(i, j int) bool {
		if !recent[i].learnedAt.Equal(recent[j].learnedAt) {
			return recent[i].learnedAt.After(recent[j].learnedAt)
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

// rotate returns the next facts, at most limit, in a rotation over all facts.
func (s *Facts) rotate(limit int) []Fact {
	out := make([]Fact, 0, min(limit, len(s.keys)))
	for range cap(out) {
		s.next = (s.next + 1) % len(s.keys)
		out = append(out, s.facts[s.keys[s.next]].Fact)
	}
	return out
}
