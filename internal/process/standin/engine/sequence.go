package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"persimmonwing/internal/request/api"
)

// sequence is one generation in the batch or in the queue.
type sequence struct {
	stream       *stream
	priority     int
	arrival      int64
	promptTokens int
	prefixHashes []uint64
	// length is the natural output length, limit the largest one allowed.
	length    int
	limit     int
	crashes   bool
	generated int
	// blocks counts the KV blocks held.
	blocks int
	// readyAt is the earliest time of the next admission.
	readyAt time.Time
}

// prefixHashLimit bounds the prefix blocks looked up for one prompt.
const prefixHashLimit = 512

func newSequence(s *Settings, r *api.CreateRequest, st *stream, arrival int64) *sequence {
	limit := maxTokens
	if r.MaxOutputTokens > 0 {
		limit = r.MaxOutputTokens
	}
	return &sequence{
		stream:       st,
		priority:     r.Priority,
		arrival:      arrival,
		promptTokens: max(1, api.EstimateTokens(r.Input)),
		prefixHashes: api.PrefixHashes(r.Input, prefixHashLimit),
		length:       outputLength(s.Seed, r.Input),
		limit:        limit,
		crashes:      s.CrashMarker != "" && strings.Contains(r.Input, s.CrashMarker),
	}
}

// tokens returns the size of the sequence's KV cache after its next token.
func (q *sequence) tokens() int { return q.promptTokens + q.generated + 1 }

// compareRank orders sequences: higher priority first, then earlier arrival.
func compareRank(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
}

// rankedList is a list of sequences in the order of compareRank.
type rankedList []*sequence

func (l *rankedList) insert(q *sequence) {
	i, _ := slices.BinarySearchFunc(*l, q, compareRank)
	*l = slices.Insert(*l, i, q)
}

// remove reports whether q was in the list.
func (l *rankedList) remove(q *sequence) bool {
	i, found := slices.BinarySearchFunc(*l, q, compareRank)
	if !found {
		return false
	}
	*l = slices.Delete(*l, i, i+1)
	return true
}
