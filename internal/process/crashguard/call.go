package crashguard

import "github.com/cespare/xxhash/v2"

// Call is one send of a call with a whole answer. In the tables of suspects it stands as a
// part of its own, which equal calls share.
type Call struct {
	// ID is unique for each send.
	ID      string
	Service string
	// Part is equal for equal calls of a service.
	Part uint64
}

// CallOutcome is the end of one send of a call.
type CallOutcome struct {
	// Answered is set if the server has begun an answer, whatever the answer, and Lost if it
	// has ended without one. NotListening is set if it had ended before the call was sent.
	Answered, Lost, NotListening bool
	// Loss identifies the server's incarnation if Lost or NotListening is set.
	Loss Loss
}

// TrialSlot returns the part that stands for the trials of all calls of a service. Only one
// suspect call runs at a service at a time, so that a server which is lost during a trial was not
// lost to another suspect.
func (c Call) TrialSlot() uint64 { return xxhash.Sum64String("trials of calls\x00" + c.Service) }
