package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"persimmonwing/internal/request/api"
)

// sequence is a generation in the batch or in the queue.
type sequence struct {
	stream       *stream
	priority     int
	arrival      int64
	promptTokens int
	prefixHashes []uint64
	// length is the number of tokens after which the generation completes, limit
	// the number after which it ends as incomplete.
	length    int
	limit     int
	crashes   bool
	generated int
	// blocks is the number of KV blocks reserved; 0 while the sequence waits.
	blocks int
	// readyAt is the earliest time at which the sequence may be admitted.
	readyAt time.Time
}

// prefixHashLimit is the maximum number of prefix blocks looked up per prompt.
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

// tokens returns the number of tokens in the sequence's KV cache, its next token
// included.
func (q *sequence) tokens() int { return q.promptTokens + q.generated + 1 }

// compareRank orders sequences: higher priority first, then earlier arrival.
func compareRank(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
}

// rankedList is a list of sequences sorted by compareRank.
type rankedList []*sequence

func (l *rankedList) insert(q *sequence) {
	i, _ := slices.BinarySearchFunc(*l, q, compareRank)
	*l = slices.Insert(*l, i, q)
}

// remove removes q and reports whether it was in the list.
func (l *rankedList) remove(q *sequence) bool {
	i, found := slices.BinarySearchFunc(*l, q, compareRank)
	if !found {
		return false
	}
	*l = slices.Delete(*l, i, i+1)
	return true
}
