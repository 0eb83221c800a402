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
	is.Equal(f.schedulingRequest(q).PartHashes, []uint64{xxhash.Sum64String("one"), xxhash.Sum64String("two")})
}
