package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// pollers is the number of gateways per data centre that are elected to poll a source.
const pollers = 2

// Score returns the rendezvous hash of a gateway for a key.
func Score(gateway, key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(gateway)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// rank sorts gateway names by their rendezvous hash for key, highest first.
func rank(names []string, key string) []string {
	out := append([]string(nil), names...)
	scores := make(map[string]uint64, len(out))
	for _, n := range out {
		scores[n] = Score(n, key)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := scores[out[i]], scores[out[j]]
		return a > b || (a == b && out[i] < out[j])
	})
	return out
}

// RanksBefore reports whether gateway a has a higher rendezvous hash for key than b.
func RanksBefore(a, b, key string) bool {
	x, y := Score(a, key), Score(b, key)
	return x > y || (x == y && a < b)
}

// HighestRanked returns the name with the highest rendezvous hash for key, or "" if
// there are no names.
func HighestRanked(names []string, key string) string {
	best, high := "", uint64(0)
	for _, n := range names {
		if s := Score(n, key); best == "" || s > high || (s == high && n < best) {
			best, high = n, s
		}
	}
	return best
}

// ReaderKey returns the key by which gateways are ranked to read the reports of an engine and to decide the
// reservations on it.
func ReaderKey(engine string) string { return "read/" + engine }
