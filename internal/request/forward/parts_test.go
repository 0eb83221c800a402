package forward

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// Guards against a scheduler that doesn't get the parts of a prompt, gets one twice, or gets
// hashes that depend on the parts before.
func TestSchedulerGetsPromptParts(t *testing.T) {
	is := is.New(t)
	q := plan()
	f := newFakeFleet("a").f
	is.Equal(len(f.schedulingRequest(q).PartHashes), 0)
	q.PromptParts = []PromptPart{{ID: "one", Tokens: 3}, {ID: "two"}, {ID: "one"}}
	is.Equal(f.schedulingRequest(q).PartHashes, []uint64{xxhash.Sum64String(q.Service + "\x00one"), xxhash.Sum64String(q.Service + "\x00two")})
}

// Guards against a part that is refused at all services because it crashes the engines of one, or
// that crashes these without end because the engines of another one answer on it.
func TestPartsOfServicesAreToldApart(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet("a").f
	one, other := plan(), plan()
	one.PromptParts, other.PromptParts = []PromptPart{{ID: "one"}}, []PromptPart{{ID: "one"}}
	is.Equal(f.schedulingRequest(one).PartHashes, f.schedulingRequest(other).PartHashes)
	other.Service += "-2"
	is.True(f.schedulingRequest(one).PartHashes[0] != f.schedulingRequest(other).PartHashes[0])
}
