package coldbound

import "time"

const (
	// TenureTTL is how long a gateway is the issuer after it has sent the write that made it so. It is
	// about as long as servers are cold.
	TenureTTL = 2 * time.Second
	// clockTolerance covers clocks of hosts that run at different rates.
	clockTolerance = 100 * time.Millisecond
	// takeoverAfter is how long the row must not have changed before another gateway replaces its holder.
	// By then the holder's tenure has ended, its last rights have, and so has the window after them.
	takeoverAfter = TenureTTL + PartTTL + Window + clockTolerance
)

// Row is the row of a service in the store. A Row without holder is free.
type Row struct {
	// Holder names a process, not only its host: a gateway that has started again doesn't know the rights
	// that it had issued.
	Holder      string `json:"holder"`
	PeerAddress string `json:"peer_address"`
}

// Tenure is what one gateway knows of the tenure of a service. Writes to the row have its revision as their
// condition, so that only one of several gateways succeeds.
type Tenure struct {
	// self is the Holder of this process.
	self string
	// until is the end of this gateway's tenure.
	until time.Duration
	// seen is set once the row has been read; seenRevision is 0 if there was none. seenAt is the time at
	// which this revision was first seen.
	seen         bool
	seenRow      Row
	seenRevision int64
	seenAt       time.Duration
}

// NewTenure returns a tenure of the process self, which has not read the row.
func NewTenure(self string) *Tenure { return &Tenure{self: self} }

// Observe records the row as it was read, or as a failed write returned it, in the order of the calls.
func (t *Tenure) Observe(now time.Duration, revision int64, row Row) {
	if t.seen && revision == t.seenRevision {
		return
	}
	t.seen, t.seenRow, t.seenRevision, t.seenAt = true, row, revision, now
	if row.Holder != t.self {
		t.until = 0
	}
}

// Seen reports whether the row was read.
func (t *Tenure) Seen() bool { return t.seen }

// Holder returns the address of another gateway that holds the tenure as far as this one knows.
func (t *Tenure) Holder() (address string, held bool) {
	return t.seenRow.PeerAddress, t.seen && t.seenRow.Holder != "" && t.seenRow.Holder != t.self
}

// MayClaim reports whether this gateway may write itself into the row, and the revision that the row
// must have.
func (t *Tenure) MayClaim(now time.Duration) (revision int64, ok bool) {
	free := t.seenRow.Holder == "" || t.seenRow.Holder == t.self || now-t.seenAt >= takeoverAfter
	return t.seenRevision, t.seen && free
}

// Claimed records that a write sent at the time sent succeeded with a revision.
func (t *Tenure) Claimed(now, sent time.Duration, revision int64, row Row) {
	t.Observe(now, revision, row)
	t.until = sent + TenureTTL
}

// MayIssue reports whether this gateway may issue rights now.
func (t *Tenure) MayIssue(now time.Duration) bool { return now < t.until }

// MustRenew reports whether the tenure is to be renewed now in order not to end.
func (t *Tenure) MustRenew(now time.Duration) bool { return t.until > 0 && t.until-now < TenureTTL/2 }

// MayRelease reports whether the row may be set free: no window contains a right that was issued.
func (t *Tenure) MayRelease(now, lastIssued time.Duration) bool {
	return t.seenRow.Holder == t.self && now-lastIssued >= PartTTL+Window
}

// Release ends the tenure, before the write that sets the row free is sent. Its answer may be lost.
func (t *Tenure) Release() { t.until = 0 }
