package owner

import (
	"context"
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
)

// The service names under which the Manager serves its peers.
const (
	ServiceName         = "Scheduler"
	SuspectsServiceName = "Suspects"
)

// errNotLive is returned for a call to a gateway that is not live.
var errNotLive = eris.New("gateway is not live")

// Empty is the argument or reply of calls that have none.
type Empty struct{}

// AcquireArgs requests a grant of a group.
type AcquireArgs struct {
	Group schedule.GroupKey
	// Request omits the fields whose values Group, Prefixes and Remaining carry.
	Request schedule.Request
	// Prefixes holds the request's prefix hashes, 4 bytes each.
	Prefixes []byte
	// Attempt counts the calls that the gateway has made for this request.
	Attempt int
	// Patience is how long the request waits before it is refused as busy, because
	// another group has room for it; 0 means without this limit.
	Patience time.Duration
	// ColdPatience is the same if all replicas of the group that have room are cold and get no more requests now.
	// There need not be a group with room.
	ColdPatience time.Duration
	// Remaining is the time until the request's deadline, from which the owner computes
	// the deadline on its own clock; 0 means no deadline.
	Remaining time.Duration
}

// pack encodes fields compactly and omits redundant ones: 16 calls/s of 400 bytes would
// be a third of a gateway's control traffic.
func (a *AcquireArgs) pack(now time.Time) {
	if !a.Request.Deadline.IsZero() {
		a.Remaining = max(a.Request.Deadline.Sub(now), time.Nanosecond)
		a.Request.Deadline = time.Time{}
	}
	for _, h := range a.Request.PrefixHashes {
		a.Prefixes = binary.LittleEndian.AppendUint32(a.Prefixes, uint32(h))
	}
	a.Request.PrefixHashes = nil
	a.Request.Model = ""
}

// unpack is the inverse of pack.
func (a *AcquireArgs) unpack(now time.Time) {
	if a.Remaining > 0 {
		a.Request.Deadline = now.Add(a.Remaining)
	}
	for b := a.Prefixes; len(b) >= 4; b = b[4:] {
		a.Request.PrefixHashes = append(a.Request.PrefixHashes, uint64(binary.LittleEndian.Uint32(b)))
	}
	a.Request.Model = a.Group.Model
}

// truncateHashes returns the low 32 bits of prefix hashes. Collisions are rare, and a
// wrong hint costs only speed.
func truncateHashes(hashes []uint64) []uint64 {
	out := make([]uint64, len(hashes))
	for i, h := range hashes {
		out[i] = h & math.MaxUint32
	}
	return out
}

// AcquireReply is a grant, a refusal, or a redirection to another gateway. On the wire
// the grant has no ID, Group and Owner, which the calling gateway knows.
type AcquireReply struct {
	Grant   schedule.Grant
	Refusal *schedule.Refusal
	// Incarnation is the engine's incarnation as known to the owner.
	Incarnation string
	Moved       bool
	// Hint is the group's owner in the view of the replying gateway.
	Hint string
}

// CancelArgs ends the wait for a request, or releases its grant.
type CancelArgs struct {
	Group   schedule.GroupKey
	ID      string
	Attempt int
}

// GroupID identifies a group in calls about grants. An owner that does not know the
// group answers as for unknown grants, which are then sent in full.
type GroupID uint32

func groupID(k schedule.GroupKey) GroupID { return GroupID(xxhash.Sum64String(k.String())) }

// ReleaseArgs ends a grant.
type ReleaseArgs struct {
	Group   GroupID
	ID      string
	Outcome schedule.Outcome
}

// RenewArgs renews grants.
type RenewArgs struct {
	Groups []GroupGrants
	// Full registers, in full, grants that the owner did not know.
	Full []schedule.Held
}

// GroupGrants are the grants of one group.
type GroupGrants struct {
	Group GroupID
	// Grants holds, for each grant, 4 bytes of grantHash and the number of generated
	// tokens as a varint. 50 full ids, twice a second, would be 2.6 KB/s.
	Grants []byte
}

// grantHash identifies a grant of a group in renewals. Two of 500 grants have the same
// hash with a probability of 3 in 100,000; one of them then expires and is visible in
// the engine's report only.
func grantHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func (g *GroupGrants) add(hash uint32, generated int) {
	g.Grants = binary.LittleEndian.AppendUint32(g.Grants, hash)
	g.Grants = binary.AppendUvarint(g.Grants, uint64(generated))
}

// each calls f for each grant and ignores malformed trailing bytes.
func (g GroupGrants) each(f func(hash uint32, generated int)) {
	for b := g.Grants; len(b) > 4; {
		generated, n := binary.Uvarint(b[4:])
		if n <= 0 {
			return
		}
		f(binary.LittleEndian.Uint32(b), int(generated))
		b = b[4+n:]
	}
}

// RenewReply lists the grants that the owner does not know.
type RenewReply struct{ Unknown []uint32 }

// Service serves the Scheduler calls of peers.
type Service struct{ m *Manager }

// Service returns the receiver to register under ServiceName.
func (m *Manager) Service() *Service { return &Service{m} }

// Acquire blocks until the request is granted, refused, cancelled or redirected to another
// gateway.
func (s *Service) Acquire(in *AcquireArgs, out *AcquireReply) error {
	in.unpack(time.Now())
	ctx, cancel := s.m.acquireContext(in.Request)
	defer cancel()
	reply, err := s.m.serveAcquire(ctx, *in)
	if err != nil {
		s.m.serveCancel(CancelArgs{Group: in.Group, ID: in.Request.ID, Attempt: in.Attempt})
		return err
	}
	reply.Grant.ID, reply.Grant.Group, reply.Grant.Owner = "", schedule.GroupKey{}, ""
	*out = reply
	return nil
}

// Cancel ends the wait for a request or releases its grant.
func (s *Service) Cancel(in *CancelArgs, _ *Empty) error {
	s.m.serveCancel(*in)
	return nil
}

// Release ends a grant.
func (s *Service) Release(in *ReleaseArgs, _ *Empty) error {
	s.m.serveRelease(*in)
	return nil
}

// Renew renews grants and registers those that are sent in full.
func (s *Service) Renew(in *RenewArgs, out *RenewReply) error {
	*out = s.m.serveRenew(*in)
	return nil
}

// SuspectService serves the Suspects calls of peers.
type SuspectService struct{ m *Manager }

// Suspects returns the receiver to register under SuspectsServiceName.
func (m *Manager) Suspects() *SuspectService { return &SuspectService{m} }

// Report merges a report of another gateway about suspects.
func (s *SuspectService) Report(in *crashguard.Report, _ *Empty) error {
	if in.Loss.Engine != "" {
		s.m.markReportedLost(in.Loss.Engine, in.Loss.Incarnation)
	}
	if s.m.guard.merge(*in) {
		s.m.recheck()
	}
	if in.Service != "" || len(in.Fingerprints)+len(in.Parts) > 0 {
		s.m.inBackground(func() { s.m.givenUpLost(in.Loss) })
	}
	return nil
}

// BeginTrial asks the keeper of a suspect part for its trial.
func (s *SuspectService) BeginTrial(in *TrialArgs, out *TrialReply) error {
	out.Granted = s.m.grantTrial(time.Now(), *in)
	return nil
}

// EndTrial ends a trial.
func (s *SuspectService) EndTrial(in *TrialArgs, _ *Empty) error {
	s.m.trials.end(*in)
	return nil
}

// FetchReply holds all suspects of a gateway.
type FetchReply struct{ Reports []crashguard.Report }

// Fetch returns all suspects to a gateway that may have missed reports.
func (s *SuspectService) Fetch(_ *Empty, out *FetchReply) error {
	out.Reports = s.m.guard.reports()
	return nil
}

// acquireContext returns the context that bounds the wait of a peer's request, in case
// the group does not refuse the request at its deadline.
func (m *Manager) acquireContext(r schedule.Request) (context.Context, context.CancelFunc) {
	const grace, maxWait = time.Second, time.Hour
	limit := maxWait
	if !r.Deadline.IsZero() {
		limit = time.Until(r.Deadline) + grace
	}
	return context.WithTimeout(context.Background(), limit)
}

func (m *Manager) serveAcquire(ctx context.Context, a AcquireArgs) (AcquireReply, error) {
	r, err := m.runner(a.Group)
	if err != nil {
		return m.moved(a.Group), nil
	}
	t := r.enqueue(time.Now(), a.Request, a.Attempt)
	waits := time.AfterFunc(loadsPeriod, m.markDirty)
	defer waits.Stop()
	if a.Patience > 0 {
		after := time.AfterFunc(a.Patience, func() { r.refuseBusy(a.Request.ID, a.Attempt) })
		defer after.Stop()
	}
	if a.ColdPatience > 0 {
		after := time.AfterFunc(a.ColdPatience, func() {
			if r.summary(time.Now()).ColdWait > 0 {
				r.refuseBusy(a.Request.ID, a.Attempt)
			}
		})
		defer after.Stop()
	}
	select {
	case <-t.done:
	case <-ctx.Done():
		if by := a.Request.Deadline; by.IsZero() || time.Now().Before(by) {
			return AcquireReply{}, ctx.Err()
		}
		return AcquireReply{Refusal: r.refuseExpired(time.Now(), a.Request, a.Attempt)}, nil
	}
	if t.result.moved {
		return m.moved(a.Group), nil
	}
	if t.result.refusal != nil {
		m.markDirty()
	}
	reply := AcquireReply{Grant: t.result.grant, Refusal: t.result.refusal}
	if reply.Refusal == nil {
		reply.Incarnation = m.incarnation(reply.Grant.Backend)
	}
	return reply, nil
}

func (m *Manager) moved(k schedule.GroupKey) AcquireReply {
	return AcquireReply{Moved: true, Hint: m.opt.View.Owner(k)}
}

// runnerByID returns the runner of a group, or nil if none is running.
func (m *Manager) runnerByID(id GroupID) *runner {
	for _, r := range m.allRunners() {
		if r.id == id {
			return r
		}
	}
	return nil
}

// serveCancel ends a wait and returns its account.
func (m *Manager) serveCancel(a CancelArgs) schedule.Account {
	// Start a runner if necessary, so that a cancel that overtakes its request is
	// remembered.
	r, err := m.runner(a.Group)
	if err != nil {
		return schedule.Account{}
	}
	return r.cancel(time.Now(), a.ID, a.Attempt)
}

func (m *Manager) serveRelease(a ReleaseArgs) {
	if r := m.runnerByID(a.Group); r != nil {
		r.release(time.Now(), a.ID, a.Outcome)
	}
}

func (m *Manager) serveRenew(a RenewArgs) RenewReply {
	var reply RenewReply
	now := time.Now()
	for _, g := range a.Groups {
		r := m.runnerByID(g.Group)
		g.each(func(hash uint32, generated int) {
			if r == nil || !r.renew(now, hash, generated) {
				reply.Unknown = append(reply.Unknown, hash)
			}
		})
	}
	for _, h := range a.Full {
		if r, err := m.runner(h.Grant.Group); err == nil {
			r.adopt(now, h)
		}
	}
	return reply
}
