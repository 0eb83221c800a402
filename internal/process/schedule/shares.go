package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonwing/internal/version/catalogue"
)

const (
	// usageTimeConstant is the time constant of the exponential decay of recent usage.
	usageTimeConstant = 5 * time.Second
	// overShareFactor is the multiple of its share above which a workspace counts as
	// over its share. It is above 1 so that equal workspaces do not alternate.
	overShareFactor = 1.25
	// activeCountInterval is the minimum time between two counts of the active
	// workspaces.
	activeCountInterval = 500 * time.Millisecond
	// idleTokens is the decayed usage in tokens below which a workspace is removed.
	idleTokens = 1.0
	// maxUseWorkspaces bounds the workspaces in a Use. A workspace that uses more than a sixteenth of what a
	// gateway grants is always among them; with fewer than 16 active ones all are.
	maxUseWorkspaces = 16
	// useTTL is the time for which the use of a gateway counts that says nothing newer, as its loads do.
	useTTL = 3 * time.Second
	// loadsDelay is the time within which other gateways learn of a grant.
	loadsDelay = 100 * time.Millisecond
	// useWeightUnit is the unit of WorkspaceUse.Weight, the smallest weight of a workspace.
	useWeightUnit = 0.01
)

// Use is what one gateway has granted to urgent work recently. It states sums that decay with
// usageTimeConstant and no increments, so that a message that is lost or repeated changes nothing for good.
type Use struct {
	// Tokens is the sum over all workspaces.
	Tokens int64
	// WithinShare is the number of grants, in thousandths, of workspaces within their share.
	WithinShare int64
	// Waiting is the number of waiting requests of workspaces over their share.
	Waiting int64
	// Workspaces holds the workspaces with the largest use, at most maxUseWorkspaces.
	Workspaces []WorkspaceUse
}

// WorkspaceUse is the part of a Use that one workspace has.
type WorkspaceUse struct {
	Workspace string
	Tokens    int64
	// Weight is in hundredths.
	Weight int64
}

const (
	// usePeriod is the time between two messages with the use of this gateway, and minUsePeriod while it grows,
	// so that the others learn of a flood before it has filled the engines.
	usePeriod    = time.Second
	minUsePeriod = 100 * time.Millisecond
	// useGrowth and waitingGrowth are the growth of the use, and of the requests that wait, of which others learn
	// within minUsePeriod. Some requests come and go at any time.
	useGrowth, waitingGrowth = 1.25, 2.0
	someWaiting              = 2
)

// UsePublisher decides when a gateway tells the others its use.
type UsePublisher struct {
	at              time.Time
	tokens, waiting int64
}

// Due reports whether a use of this many tokens, with this many requests waiting, is to be sent now, and if so
// notes it as sent.
func (p *UsePublisher) Due(now time.Time, tokens, waiting int64) bool {
	passed := now.Sub(p.at)
	grown := float64(tokens) > useGrowth*float64(p.tokens) || float64(waiting) > waitingGrowth*float64(p.waiting)+someWaiting
	if passed < minUsePeriod || passed < usePeriod && !grown {
		return false
	}
	p.at, p.tokens, p.waiting = now, tokens, waiting
	return true
}

// peerUse is the newest Use of another gateway.
type peerUse struct {
	Use
	at time.Time
}

// decayingSum is a sum that decays exponentially with usageTimeConstant.
type decayingSum struct {
	value float64
	at    time.Time
}

func (d *decayingSum) get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(usageTimeConstant))
}

func (d *decayingSum) add(now time.Time, x float64) {
	d.value = d.get(now) + x
	d.at = now
}

// rate returns the average per second over usageTimeConstant.
func (d *decayingSum) rate(now time.Time) float64 { return d.get(now) / usageTimeConstant.Seconds() }

// usage is the recent usage of one workspace.
type usage struct {
	tokens decayingSum
	weight float64
	// peers is the use at other gateways.
	peers int64
}

// sum returns the use at all gateways.
func (u *usage) sum(now time.Time) float64 { return u.tokens.get(now) + float64(u.peers) }

// shares tracks which workspaces use more than their share of the group's urgent work.
// activeWeight is the sum of the weights of the workspaces with recent usage here, and allWeight that of those
// with recent usage at any gateway.
//
// Load pattern: a workspace floods through many gateways. At each it is within its share, or even alone, and
// takes the room that the callers of other gateways wait for. Under the shared policy its use therefore
// counts over all gateways where it is decided who leaves free slots for others.
type shares struct {
	usage map[string]*usage
	total decayingSum
	// withinShare is the decaying number of urgent grants of workspaces that are not
	// over their share.
	withinShare  decayingSum
	activeWeight float64
	allWeight    float64
	countedAt    time.Time
	// peers holds the use at other gateways, and the fields after it the sums over them.
	peers                                    map[string]peerUse
	peerTokens, peerWithinShare, peerWaiting int64
	// spareRight is the number of spare slots that work over its share may take here, as of spareAt.
	spareRight float64
	spareAt    time.Time
}

// add records an urgent grant. Background work is not recorded, because it must not
// lower the rank of a workspace's urgent work.
func (s *shares) add(now time.Time, workspace string, weight, tokens float64) {
	if !s.exceeded(now, workspace) {
		s.withinShare.add(now, 1)
	}
	u := s.usage[workspace]
	if u == nil {
		u = &usage{}
		s.usage[workspace] = u
	}
	u.weight = weight
	u.tokens.add(now, tokens)
	s.total.add(now, tokens)
	s.countActive(now)
}

// countActive recomputes activeWeight and removes the idle workspaces, at most once in
// activeCountInterval.
func (s *shares) countActive(now time.Time) {
	if now.Sub(s.countedAt) < activeCountInterval {
		return
	}
	s.countedAt = now
	s.activeWeight, s.allWeight = 0, 0
	s.expirePeers(now)
	for name, u := range s.usage {
		if u.sum(now) < idleTokens {
			delete(s.usage, name)
			continue
		}
		s.allWeight += u.weight
		if u.tokens.get(now) >= idleTokens {
			s.activeWeight += u.weight
		}
	}
}

// exceededHere reports whether a workspace uses more than overShareFactor times its share of what this gateway
// grants.
func (s *shares) exceededHere(now time.Time, workspace string) bool {
	u := s.usage[workspace]
	if u == nil || s.activeWeight <= u.weight {
		return false
	}
	share := s.total.get(now) * u.weight / s.activeWeight
	return u.tokens.get(now) > overShareFactor*share
}

// exceeded reports whether a workspace uses more than overShareFactor times its share of what all gateways grant.
func (s *shares) exceeded(now time.Time, workspace string) bool {
	if len(s.peers) == 0 {
		return s.exceededHere(now, workspace)
	}
	u := s.usage[workspace]
	if u == nil || s.allWeight <= u.weight {
		return false
	}
	share := (s.total.get(now) + float64(s.peerTokens)) * u.weight / s.allWeight
	return u.sum(now) > overShareFactor*share
}

// withinShareRate returns the grants per second, at all gateways, of workspaces within their share.
func (s *shares) withinShareRate(now time.Time) float64 {
	return s.withinShare.rate(now) + float64(s.peerWithinShare)/1000/usageTimeConstant.Seconds()
}

// spareHere returns how many of the spare slots work over its share may take at this gateway, where a number of
// its requests wait.
//
// Load pattern: a flood waits at many gateways, which all see the same spare slot. If each grants it, they use
// up what is kept free for small workspaces until the next loads arrive. So each gets its part of
// the spare slots, by the requests that wait, in the time that loads take.
func (s *shares) spareHere(now time.Time, spare float64, waiting int) float64 {
	all := float64(s.peerWaiting) + float64(waiting)
	if s.peerWaiting == 0 || waiting == 0 || spare >= all {
		s.spareAt = now
		return spare
	}
	part := max(spare, 0) * float64(waiting) / all
	delays := float64(now.Sub(s.spareAt)) / float64(loadsDelay)
	s.spareRight = min(max(s.spareRight, 0)+part*delays, max(part, 1))
	s.spareAt = now
	return min(spare, s.spareRight)
}

// refund takes back the tokens of a grant that did not run.
func (s *shares) refund(now time.Time, workspace string, tokens float64) {
	u := s.usage[workspace]
	if u == nil {
		return
	}
	back := min(tokens, u.tokens.get(now))
	u.tokens.add(now, -back)
	s.total.add(now, -min(back, s.total.get(now)))
}

// use returns what this gateway has granted recently.
func (s *shares) use(now time.Time) Use {
	out := Use{Tokens: int64(s.total.get(now)), WithinShare: int64(1000 * s.withinShare.get(now))}
	if float64(out.Tokens) < idleTokens {
		return Use{}
	}
	for name, u := range s.usage {
		if tokens := int64(u.tokens.get(now)); float64(tokens) >= idleTokens {
			out.Workspaces = append(out.Workspaces, WorkspaceUse{name, tokens, int64(math.Ceil(u.weight / useWeightUnit))})
		}
	}
	slices.SortFunc(out.Workspaces, func(a, b WorkspaceUse) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Workspace, b.Workspace))
	})
	out.Workspaces = out.Workspaces[:min(len(out.Workspaces), maxUseWorkspaces)]
	return out
}

// setPeer replaces the use at another gateway; a zero Use removes it. It counts in full until the next one
// arrives, as it is renewed about as fast as it decays while the gateway grants.
func (s *shares) setPeer(now time.Time, gateway string, next Use) {
	s.addPeer(s.peers[gateway].Use, -1)
	delete(s.peers, gateway)
	if next.Tokens == 0 {
		return
	}
	if s.peers == nil {
		s.peers = map[string]peerUse{}
	}
	s.peers[gateway] = peerUse{next, now}
	s.addPeer(next, 1)
}

// addPeer adds a Use to the sums over other gateways, or subtracts it if sign is -1.
func (s *shares) addPeer(p Use, sign int64) {
	s.peerTokens += sign * p.Tokens
	s.peerWithinShare += sign * p.WithinShare
	s.peerWaiting += sign * p.Waiting
	for _, w := range p.Workspaces {
		u := s.usage[w.Workspace]
		if u == nil {
			u = &usage{}
			s.usage[w.Workspace] = u
		}
		if u.weight == 0 {
			u.weight = float64(w.Weight) * useWeightUnit
			s.allWeight += u.weight
		}
		u.peers += sign * w.Tokens
	}
}

// expirePeers removes the use of gateways that have said nothing for useTTL.
func (s *shares) expirePeers(now time.Time) {
	for gateway, p := range s.peers {
		if now.Sub(p.at) >= useTTL {
			s.setPeer(now, gateway, Use{})
		}
	}
}

// Use returns what this gateway has granted recently, for other gateways under the shared policy.
func (g *Group) Use(now time.Time) Use {
	u := g.shares.use(now)
	if u.Tokens > 0 {
		u.Waiting = int64(g.waitingOverShare(now))
	}
	return u
}

// waitingOverShare returns the number of waiting urgent requests of workspaces over their share.
func (g *Group) waitingOverShare(now time.Time) int {
	n := 0
	if g.queue.Len(catalogue.Urgent) == 0 {
		return n
	}
	for name := range g.shares.usage {
		if g.shares.exceeded(now, name) {
			n += g.queue.WorkspaceLen(name, catalogue.Urgent)
		}
	}
	return n
}

// SetPeerUse replaces what another gateway has granted recently; a zero Use removes it.
func (g *Group) SetPeerUse(now time.Time, gateway string, u Use) {
	g.shares.setPeer(now, gateway, u)
	g.shares.countActive(now)
}
