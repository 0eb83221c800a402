// Package admission bounds what callers that keep no limits can make a process hold: connections, heads of
// requests and bodies share one budget of bytes. If it is used up, the connection that holds most for the least
// progress gives way.
package admission

import "time"

const (
	// connectionCost is what an open connection takes in bytes: two goroutines, the buffers of the
	// server and a head of includedHead bytes.
	connectionCost = 24 << 10
	includedHead   = 8 << 10
	// lineCost is what a field of a head takes beyond its bytes, in bytes.
	lineCost = 128
	// progressStep is the number of bytes that count as progress. Fewer would let a caller hold its
	// memory for a byte now and then.
	progressStep = 1 << 10
	// minStall is the time without progress after which a connection may have to give way. It is longer than
	// the pauses of a caller that sends as fast as its link allows.
	minStall = 250 * time.Millisecond
	// minIdle is the time after a request in which its connection stays, so that connections which have stalled
	// give way first when a crowd arrives at once.
	minIdle = time.Second
)

// phase is what a connection is doing.
type phase int

const (
	// waiting connections have sent no byte of a request.
	waiting phase = iota
	readingHead
	// readingBody is the phase from the first reservation for a body until the body has been read.
	readingBody
	// serving is the phase in which a server may be working for the caller.
	serving
)

// state is what is known of a connection when one has to give way.
type state struct {
	phase phase
	// served is set after the first request.
	served bool
	// held is the memory in bytes, and progress the time at which it was last justified by received bytes.
	held     int64
	progress time.Time
	// leaving is set for a connection that has been told to give way.
	leaving bool
	// blocked is set while the connection waits for memory, which is why it makes no progress.
	blocked bool
}

// arriving reports whether the connection's request has not arrived yet.
func (s *state) arriving() bool {
	return s.phase == readingHead || s.phase == readingBody || s.phase == waiting && !s.served
}

// rank orders connections that may give way. Only those of the highest rank present are compared.
type rank int

const (
	stays rank = iota
	// idle connections are those of ordinary callers, which open another one at the cost of a handshake.
	idle
	// unused connections have not carried a request yet.
	unused
	// stalled connections hold memory for a request that does not arrive.
	stalled
)

// rank returns whether the connection may give way to one that will hold claim bytes.
func (s *state) rank(now time.Time, claim int64) rank {
	rested := now.Sub(s.progress) >= minStall
	switch {
	case s.leaving || s.phase == serving:
		return stays
	case s.phase == waiting && s.served && now.Sub(s.progress) >= minIdle:
		return idle
	case s.phase == waiting && !s.served && rested:
		return unused
	case s.phase == waiting:
		return stays
	case s.blocked && s.held > claim, !s.blocked && rested:
		return stalled
	}
	return stays
}

// cost is the memory that a connection has held without progress, in byte seconds.
func (s *state) cost(now time.Time) float64 { return float64(s.held) * now.Sub(s.progress).Seconds() }

// choose returns the index of the connection that gives way to one that will hold claim bytes, or -1 if none
// does. Connections of a rank below least stay.
func choose(now time.Time, connections func(yield func(int, *state) bool), claim int64, least rank) int {
	found, best, most := -1, stays, 0.0
	for i, s := range connections {
		r := s.rank(now, claim)
		if r < least || r == stays || r < best {
			continue
		}
		if c := s.cost(now); r > best || c > most {
			found, best, most = i, r, c
		}
	}
	return found
}
