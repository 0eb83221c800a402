package balance

import (
	"math"
	"time"
)

// Candidate is a server that may get a request. Its state allows it: load decides only among those.
type Candidate struct {
	Name        string
	Incarnation int64
	// Home is set for servers in the gateway's own data centre.
	Home bool
	// Share is the part of its usual share that the server may get: less than 1 in slow start.
	Share float64
}

// Need is what a request needs of its server.
type Need struct {
	// Target is the route's latency target, or 0.
	Target time.Duration
	// Left is the time to the request's deadline.
	Left time.Duration
}

// Choice is the server that a request goes to, and what was known of it.
type Choice struct {
	Index int
	// Known is set if the server has stated its load, and Age is the age of the newest statement to any gateway. Busy is the
	// expected number of requests there, and Slots the number of slots.
	Known bool
	Age   time.Duration
	Busy  float64
	Slots int
	// AllFull is set if all candidates are expected to be full.
	AllFull bool
	// Hopeless is set if the request is expected to miss its deadline at each candidate.
	Hopeless bool
}

const (
	// unknownShare is the part of its slots that is expected to be in use at a server that has stated nothing
	// lately, if nothing is known of the others either.
	unknownShare = 0.5
	// assumedResponse is the response time in seconds before any response is known.
	assumedResponse = 0.001
	// fullWeight is the weight of a full server in free slots. A statement may be wrong, and a full server must
	// not be left out by all gateways at once.
	fullWeight = 0.05
	// hopelessWeight is the weight that a statement must still have to refuse a request because of it.
	hopelessWeight = 0.5
	// homeShare is the part of the latency target up to which the expected response time of a server of the own
	// data centre is good enough. The rest is for requests that take longer than most.
	homeShare = 0.5
)

// prospect is what is expected of one candidate.
type prospect struct {
	busy, slots float64
	// response is the expected response time in seconds, of a request that need not wait, and wait the time until
	// a slot is free.
	response, wait float64
	// queued is the time in seconds that the requests take that the server has lately stated as waiting, if none takes
	// longer than at the fastest server. Slow responses may have another cause than the queue.
	queued float64
	weight float64
}

// free is the expected number of free slots.
func (p prospect) free() float64 { return max(0, p.slots-p.busy) }

// Choose selects one of the candidates, using a random number in [0, 1). It returns false if none of them has stated
// its load lately, so that the caller has to choose in another way.
//
// A statement of age t counts with the weight exp(-t/memory); the rest of the weight is on the usual load. Gateways
// that have the same statement don't choose the same server, because each chooses at random in proportion to the square
// of the free capacity: the number of free slots divided by the time that a request takes. The square prefers the better
// one of two servers more clearly, and is still no herd. Servers of the own data centre are preferred while they have
// room and are fast enough for the target.
func (b *Loads) Choose(now time.Time, candidates []Candidate, need Need, random float64) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	prospects, any := b.prospects(now, candidates)
	if !any {
		return Choice{}, false
	}
	home := make([]float64, len(candidates))
	all := make([]float64, len(candidates))
	homeRoom, hopeless, allFull := 0.0, true, true
	for i, p := range prospects {
		all[i] = p.weight
		if p.free() >= 1 {
			allFull = false
		}
		if need.Left <= 0 || p.queued < need.Left.Seconds() {
			hopeless = false
		}
		if candidates[i].Home && (need.Target <= 0 || p.wait+p.response <= homeShare*need.Target.Seconds()) {
			home[i] = p.weight
			homeRoom += p.room() * candidates[i].Share
		}
	}
	weights := all
	// The last slots of the own data centre are wanted by several gateways at once. A part of them goes elsewhere,
	// the more of them the less room there is.
	if random < homeRoom {
		weights, random = home, random/min(1, homeRoom)
	} else {
		random = (random - homeRoom) / (1 - homeRoom)
	}
	i := pick(weights, random)
	c := Choice{Index: i, Busy: prospects[i].busy, Slots: int(prospects[i].slots), AllFull: allFull, Hopeless: hopeless}
	if l := b.servers[candidates[i].Name]; l.known(now) && l.incarnation == candidates[i].Incarnation {
		c.Known, c.Age = true, now.Sub(l.newestAt)
	}
	return c, true
}

// room is the probability with which a request stays at a server of the own data centre. The number of requests
// there varies by about the root of its mean.
func (p prospect) room() float64 {
	return min(1, max(0, p.slots-p.busy-1)/(1+math.Sqrt(p.busy)))
}

// prospects returns what is expected of each candidate. any reports whether one of them has stated its load.
func (b *Loads) prospects(now time.Time, candidates []Candidate) (out []prospect, any bool) {
	out = make([]prospect, len(candidates))
	var slots, busy, response, known, timed float64
	fastest := math.Inf(1)
	for i, c := range candidates {
		l := b.servers[c.Name]
		if l == nil || l.incarnation != c.Incarnation {
			continue
		}
		if l.took > 0 {
			response += l.took
			timed++
			fastest = min(fastest, l.took)
		}
		if !l.known(now) {
			continue
		}
		out[i] = prospect{busy: l.busy(now), slots: float64(l.slots)}
		slots += out[i].slots
		busy += out[i].busy
		known++
	}
	if known == 0 {
		return nil, false
	}
	usual, share := assumedResponse, unknownShare
	if timed > 0 {
		usual = response / timed
	}
	if known > 1 {
		share = min(1, busy/slots)
	}
	for i, c := range candidates {
		p, l := &out[i], b.servers[c.Name]
		p.response = usual
		if l != nil && l.incarnation == c.Incarnation && l.response(now) > 0 {
			p.response = l.response(now)
		}
		if p.slots == 0 {
			p.slots = slots / known
			p.busy = share * p.slots
		} else {
			p.response = max(p.response, usual*l.slowdown(now))
			if timed > 0 && l.weight(now, l.statedAt) >= hopelessWeight {
				p.queued = fastest * float64(l.stated.Waiting) / p.slots
			}
		}
		if over := p.busy + 1 - p.slots; over > 0 {
			p.wait = p.response * over / p.slots
		}
		capacity := max(p.free(), fullWeight) / (p.response + p.wait)
		p.weight = capacity * capacity * c.Share
	}
	return out, true
}

// pick returns an index in proportion to the weights.
func pick(weights []float64, random float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at, last := random*sum, 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		last = i
		if at -= w; at < 0 {
			break
		}
	}
	return last
}
