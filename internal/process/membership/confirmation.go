package membership

import "time"

// addConfirmation adds this gateway's confirmation of the catalogue revision to a
// response. Requests don't contain one, because their receiver doesn't know an upper
// bound of their transit time.
func (g *Gossiper) addConfirmation(m *Message) {
	if g.opt.Confirmed == nil {
		return
	}
	revision, age, ok := g.opt.Confirmed()
	if !ok || age > maxConfirmationAge {
		return
	}
	m.ConfirmedRevision = revision
	// Round up, because the age is an upper bound and 0 means no confirmation.
	m.ConfirmedAgeMS = uint32(age.Milliseconds()) + 1
}

// maxConfirmationAge is the age up to which confirmations are sent. Older ones are not
// worth the bytes, as they don't save the receiver a poll.
const maxConfirmationAge = 10 * time.Second

// useConfirmation passes the confirmation in a response to Options.Confirm. sent is when
// the request was sent. The peer determined the age after it had received the request,
// so subtracting the age from sent makes the confirmation older than it is, by at most
// the duration of the exchange, and never newer.
func (g *Gossiper) useConfirmation(sent time.Time, response *Message) {
	if g.opt.Confirm == nil || response.ConfirmedAgeMS == 0 {
		return
	}
	g.opt.Confirm(response.ConfirmedRevision, sent.Add(-time.Duration(response.ConfirmedAgeMS)*time.Millisecond))
}
