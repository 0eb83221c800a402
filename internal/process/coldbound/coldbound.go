// Package coldbound bounds the requests that all gateways together send to a server that is
// cold. One gateway, the issuer of the server's service, issues the rights to send. It holds a
// tenure that a row of the platform's store proves, so that no two gateways issue rights at a time.
// Load pattern: an empty server looks least loaded to every gateway, and all of them send to it at once.
//
// The package has no input or output. Times are those of a clock that runs on while the host is suspended.
package coldbound

import "time"

const (
	// Window is the time in which a server gets at most as many requests as it has rights.
	Window = time.Second
	// PartTTL is how long a right can be used. It covers the answer of the issuer and the connection to
	// the server. A right that nobody has used comes back when it and the window after it have ended.
	PartTTL = 250 * time.Millisecond
	// controlReserve is the number of requests that are kept for control calls, which need no right: two
	// reports a second, moves of running generations, and the check of a health path.
	controlReserve = 4
	// maxPart is the most rights that a gateway gets at once, so that the others get some, too.
	maxPart = 8
)

// Bound is the number of requests in Window that a cold server may get: its rate times Over plus
// Slack. The zero value means that there is no bound.
type Bound struct{ Over, Slack float64 }

// Rights returns the number of rights to a server that bears a rate of requests a second, or 0 if its
// requests are not bounded.
func (b Bound) Rights(perSecond float64) int {
	if b.Over <= 0 || perSecond <= 0 {
		return 0
	}
	all := max(1, int(perSecond*b.Over+b.Slack))
	return all - min(controlReserve, all/2)
}

// FirstWindow returns the number of the rights that are issued in the first window after a server turned
// cold. The others are kept for the requests of gateways that had not learnt of it yet.
func FirstWindow(rights int) int { return max(1, rights/2) }

// Incarnation identifies one start of a server.
type Incarnation struct {
	Server    string
	StartedMS int64
}

// issued are rights that were issued at once.
type issued struct {
	at time.Duration
	n  int
}

// account holds the rights to one server that were issued and may count in a window. It outlives the server's
// incarnations, since gateways learn of a restart at different times.
type account struct {
	openedAt  time.Duration
	startedMS int64
	issued    []issued
	used      int
}

// prune drops the rights that no window still contains.
func (a *account) prune(now time.Duration) {
	for len(a.issued) > 0 && now-a.issued[0].at >= Window+PartTTL {
		a.used -= a.issued[0].n
		a.issued = a.issued[1:]
	}
}

// Ledger holds the rights that an issuer has issued.
type Ledger struct {
	accounts map[string]*account
	// lastIssued is the time of the last issue.
	lastIssued time.Duration
}

// Issue issues up to want of the rights to a server. If there are none left, wait is the time until
// some are.
func (l *Ledger) Issue(now time.Duration, s Incarnation, rights, want int) (n int, wait time.Duration) {
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	a := l.accounts[s.Server]
	if a == nil {
		a = &account{}
		l.accounts[s.Server] = a
	}
	if a.openedAt == 0 || s.StartedMS > a.startedMS {
		a.openedAt, a.startedMS = now, s.StartedMS
	}
	a.prune(now)
	limit := rights
	if now-a.openedAt < Window {
		limit = min(rights, FirstWindow(rights))
	}
	n = min(want, maxPart, limit-a.used)
	if n <= 0 {
		if len(a.issued) == 0 {
			return 0, Window
		}
		return 0, max(time.Millisecond, a.issued[0].at+Window+PartTTL-now)
	}
	a.issued, a.used, l.lastIssued = append(a.issued, issued{now, n}), a.used+n, now
	return n, 0
}

// Issued returns the number of rights to a server that count in a window now.
func (l *Ledger) Issued(now time.Duration, server string) int {
	a := l.accounts[server]
	if a == nil {
		return 0
	}
	a.prune(now)
	return a.used
}

// Len returns the number of servers with rights that may count in a window.
func (l *Ledger) Len() int { return len(l.accounts) }

// LastIssued returns the time at which rights were last issued.
func (l *Ledger) LastIssued() time.Duration { return l.lastIssued }

// InUse returns the number of rights that count in a window now, and forgets the servers without any.
func (l *Ledger) InUse(now time.Duration) int {
	sum := 0
	for s, a := range l.accounts {
		a.prune(now)
		sum += a.used
		if a.used == 0 && now-a.openedAt >= Window+PartTTL {
			delete(l.accounts, s)
		}
	}
	return sum
}

// Demand estimates how many rights to a server a gateway uses before they end.
type Demand struct {
	since         time.Duration
	current, last int
}

// Note records that a request needs a right, and returns the number of rights to ask for: as many as were
// needed in the PartTTL before.
func (d *Demand) Note(now time.Duration) int {
	switch passed := now - d.since; {
	case passed >= 2*PartTTL:
		*d = Demand{since: now}
	case passed >= PartTTL:
		*d = Demand{since: now, last: d.current}
	}
	d.current++
	return max(1, d.last)
}

// Ended reports whether no request has needed a right lately.
func (d *Demand) Ended(now time.Duration) bool { return now-d.since >= Window }

// Right is the right to send one request before the time until.
type Right struct{ until time.Duration }

// Valid reports whether the right can be used now.
func (r Right) Valid(now time.Duration) bool { return now < r.until }

// Parts holds the rights of one gateway that are not used yet.
type Parts map[string][]Right

// Add adds rights that were asked for at the time sent. Counted from there, a gateway that was frozen or
// whose call took long doesn't use them after their time.
func (p Parts) Add(sent time.Duration, s string, n int) {
	for range n {
		p[s] = append(p[s], Right{sent + PartTTL})
	}
}

// Return gives back a right that was not used.
func (p Parts) Return(s string, r Right) { p[s] = append(p[s], r) }

// Take takes a right that can be used now.
func (p Parts) Take(now time.Duration, s string) (Right, bool) {
	for rights := p[s]; len(rights) > 0; {
		r := rights[len(rights)-1]
		rights = rights[:len(rights)-1]
		p[s] = rights
		if r.Valid(now) {
			return r, true
		}
	}
	delete(p, s)
	return Right{}, false
}

// Prune drops rights that have ended and returns the number of the others.
func (p Parts) Prune(now time.Duration) int {
	left := 0
	for s, rights := range p {
		kept := rights[:0]
		for _, r := range rights {
			if r.Valid(now) {
				kept = append(kept, r)
			}
		}
		p[s] = kept
		left += len(kept)
		if len(kept) == 0 {
			delete(p, s)
		}
	}
	return left
}
