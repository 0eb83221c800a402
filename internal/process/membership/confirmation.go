package membership

import "time"

// putConfirmation adds this gateway's confirmation of the catalogue to an answer.
// Requests carry none: their receiver can't bound the time they were under way.
func (g *Gossiper) putConfirmation(m *Message) {
	if g.opt.Confirmed == nil {
		return
	}
	revision, age, ok := g.opt.Confirmed()
	if !ok || age > maxConfirmationAge {
		return
	}
	m.ConfirmedRevision = revision
	// Rounded up, and never 0, which means none.
	m.ConfirmedAgeMS = uint32(age.Milliseconds()) + 1
}

// maxConfirmationAge bounds the confirmations that are worth their bytes: older
// ones don't keep a gateway from polling.
const maxConfirmationAge = 10 * time.Second

// takeConfirmation passes on the confirmation of an answer to a request that was
// sent at an instant. The peer took the age after it had received the request, so
// counting from the sending makes the confirmation older than it is, by the time
// of the exchange.
func (g *Gossiper) takeConfirmation(sent time.Time, answer *Message) {
	if g.opt.Confirm == nil || answer.ConfirmedAgeMS == 0 {
		return
	}
	g.opt.Confirm(answer.ConfirmedRevision, sent.Add(-time.Duration(answer.ConfirmedAgeMS)*time.Millisecond))
}
