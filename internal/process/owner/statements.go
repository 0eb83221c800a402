package owner

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// ServerStatement is what a server stated in an answer, as gateways pass it on: its load, and that it is cold.
type ServerStatement struct {
	Server      string
	Incarnation int64
	// AgeMS is the time in milliseconds since the answer was read, as of the message.
	AgeMS                   int
	Running, Waiting, Slots int
	// SlowdownPercent is the time that work takes, as a percentage of the usual one.
	SlowdownPercent int
	// ColdMS is the time in milliseconds for which the server was still cold, or 0 if it stated none.
	ColdMS int64
}

const (
	// statementSpan is the time by which a statement must be newer than the one before to replace it. A busy
	// server makes hundreds of statements a second, and its load does not change as often.
	statementSpan = 100 * time.Millisecond
	// maxStatementAge is the age from which on a statement is not passed on: it says little by then.
	maxStatementAge = 2 * time.Second
	// statementRate and maxStatements bound the statements that are passed to one gateway a second and at once.
	// 40 of 46 bytes are a ninth of the 17 KB/s of a gateway. With more than four servers, each is passed on less often.
	statementRate, maxStatements = 40, 16
	// maxStatementServers bounds the servers whose statements are kept.
	maxStatementServers = 4096
	// allPeers stands for all gateways of a mesh, which get the same messages.
	allPeers = "*"
	// peerTTL is the time since the last message to a gateway after which it is forgotten what it has got.
	peerTTL = 10 * time.Second
)

// scope selects the statements that a gateway gets, so that none is passed in a circle: each passes from the gateway that
// read it up to the relay of its data centre, from there to the other relays, and down to their followers.
type scope int

const (
	// ownStatements are those of answers to this gateway.
	ownStatements scope = iota
	// localStatements are also those of followers.
	localStatements
	allStatements
)

// statementBoard holds the newest statement of each server.
//
// Load pattern: many gateways send calls to a few servers. Each gateway learns a server's load from answers to its own
// calls, one in a second or so, while all of them together learn it many times a second.
type statementBoard struct {
	mu       sync.Mutex
	sequence uint64
	newest   map[string]notedStatement
	passed   map[string]*passedStatements
}

// notedStatement is a statement that was made at the time at, and who passed it on: "" for an answer to this gateway.
type notedStatement struct {
	ServerStatement
	at       time.Time
	sequence uint64
	from     string
	scope    scope
}

// passedStatements describes what one gateway has got: the statements up to a sequence number, less those over its limit.
type passedStatements struct {
	sequence uint64
	at       time.Time
	limit    *rate.Limiter
}

// note keeps a statement unless it is no news, and reports whether it was kept.
func (b *statementBoard) note(at time.Time, s ServerStatement, from string, sc scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.newest[s.Server]
	due := old.at.Add(statementSpan)
	if s.ColdMS > 0 && old.ColdMS == 0 {
		// That a server has become cold is passed on at once. The times are those of different gateways.
		due = old.at.Add(-statementSpan)
	}
	if known && at.Before(due) || !known && len(b.newest) >= maxStatementServers {
		return false
	}
	if b.newest == nil {
		b.newest = map[string]notedStatement{}
	}
	b.sequence++
	b.newest[s.Server] = notedStatement{s, at, b.sequence, from, sc}
	return true
}

// take returns the statements of a scope for a gateway that were noted since its last message. With more than
// the limit allows, each message begins with other servers.
func (b *statementBoard) take(now time.Time, gateway string, sc scope) (out []ServerStatement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peer(now, gateway)
	var news []notedStatement
	for server, s := range b.newest {
		switch {
		case now.Sub(s.at) >= maxStatementAge:
			delete(b.newest, server)
		case s.sequence > p.sequence && s.from != gateway && s.scope <= sc:
			news = append(news, s)
		}
	}
	first := xxhash.Sum64String(strconv.FormatUint(p.sequence, 10))
	slices.SortFunc(news, func(a, b notedStatement) int {
		return cmp.Compare(xxhash.Sum64String(a.Server)-first, xxhash.Sum64String(b.Server)-first)
	})
	p.sequence = b.sequence
	for _, s := range news {
		if !p.limit.AllowN(now, 1) {
			break
		}
		s.AgeMS = int(now.Sub(s.at).Milliseconds())
		out = append(out, s.ServerStatement)
	}
	return out
}

// peer returns what a gateway has got, and forgets the gateways that get nothing any more.
func (b *statementBoard) peer(now time.Time, gateway string) *passedStatements {
	p, known := b.passed[gateway]
	if !known {
		for name, other := range b.passed {
			if now.Sub(other.at) > peerTTL {
				delete(b.passed, name)
			}
		}
		if b.passed == nil {
			b.passed = map[string]*passedStatements{}
		}
		p = &passedStatements{limit: rate.NewLimiter(statementRate, maxStatements)}
		b.passed[gateway] = p
	}
	p.at = now
	return p
}

// NoteStatement records what a server stated in an answer to this gateway, which passes it on.
func (m *Manager) NoteStatement(now time.Time, s ServerStatement) {
	m.statements.note(now, s, "", ownStatements)
}

// exchangeStatements records the statements in a call of FetchLoads. The result fills the reply, as the last step, so
// that ages include the wait.
func (m *Manager) exchangeStatements(in *FetchLoadsArgs, out *FetchLoadsReply) (reply func()) {
	local, sc := in.DataCentre == m.opt.View.Self().DataCentre, localStatements
	if local {
		sc = allStatements
	}
	m.hearStatements(time.Now(), in.Gateway, local, in.Statements)
	return func() { out.Statements = m.statements.take(time.Now(), in.Gateway, sc) }
}

// hearStatements records the statements that another gateway has passed on. local is set for those of followers.
func (m *Manager) hearStatements(now time.Time, from string, local bool, statements []ServerStatement) {
	sc := allStatements
	if local {
		sc = localStatements
	}
	for _, s := range statements {
		at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		if s.AgeMS < 0 || now.Sub(at) >= maxStatementAge || !m.statements.note(at, s, from, sc) {
			continue
		}
		if m.opt.HearStatement != nil {
			m.opt.HearStatement(at, s)
		}
	}
}
