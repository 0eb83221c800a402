package admission

import (
	"slices"
	"testing"
	"time"
)

// Guards against the wrong connection giving way: one whose request is whole or arrives steadily, one that holds
// little, or an ordinary caller's before one that keeps no limits.
func TestWhoGivesWay(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	idleLong := state{phase: waiting, served: true, held: connectionCost, progress: ago(time.Hour)}
	idleShort := state{phase: waiting, served: true, held: connectionCost, progress: ago(time.Second)}
	justServed := state{phase: waiting, served: true, held: connectionCost, progress: ago(minIdle / 2)}
	fresh := state{phase: waiting, held: connectionCost, progress: ago(minStall / 2)}
	silent := state{phase: waiting, held: connectionCost, progress: ago(2 * minStall)}
	whole := state{phase: serving, held: 4 << 20, progress: ago(time.Hour)}
	arriving := state{phase: readingBody, held: 4 << 20, progress: ago(minStall / 2)}
	stopped := state{phase: readingBody, held: 4 << 20, progress: ago(2 * time.Second)}
	slow := state{phase: readingBody, held: 64 << 10, progress: ago(2 * time.Second)}
	half := state{phase: readingHead, held: 1 << 20, progress: ago(5 * time.Second)}
	left := state{phase: readingBody, held: 8 << 20, progress: ago(time.Minute), leaving: true}
	blocked := state{phase: readingBody, held: 2 << 20, progress: ago(minStall / 2), blocked: true}
	for _, c := range []struct {
		name        string
		connections []state
		claim       int64
		least       rank
		want        int
	}{
		{"nobody", nil, 1 << 20, idle, -1},
		{"requests that are served stay", []state{whole, fresh, arriving, left, justServed}, 1 << 20, idle, -1},
		{"the stalled one that held most for longest", []state{slow, stopped, half, whole}, 1 << 20, stalled, 1},
		{"a small one that has stalled for long enough", []state{slow, {phase: readingBody, held: 128 << 10, progress: ago(minStall)}}, 1 << 20, stalled, 0},
		{"stalled ones before silent and idle ones", []state{idleLong, silent, slow}, connectionCost, idle, 2},
		{"silent ones before idle ones", []state{idleLong, silent, fresh}, connectionCost, idle, 1},
		{"the one idle longest", []state{idleShort, idleLong, whole}, connectionCost, idle, 1},
		{"idle ones don't make room for bytes", []state{idleLong, fresh}, 1 << 20, unused, -1},
		{"one that waits for memory, to a smaller one", []state{blocked, arriving}, 1 << 20, stalled, 0},
		{"one that waits for memory, not to a larger one", []state{blocked, arriving}, 3 << 20, stalled, -1},
	} {
		got := choose(now, func(yield func(int, *state) bool) {
			for i := range c.connections {
				if !yield(i, &c.connections[i]) {
					return
				}
			}
		}, c.claim, c.least)
		if got != c.want {
			t.Errorf("%s: connection %d gives way, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a small body that is refused while large ones which have stalled keep the memory, and against a
// body that gives way although it is whole.
func TestStalledBodiesGiveWay(t *testing.T) {
	b := NewBudget(Limits{Bytes: 1 << 20, Connections: 10})
	var gaveWay []string
	crowd := b.Open(func(during string) { gaveWay = append(gaveWay, during) }, nil)
	whole := b.Open(func(during string) { t.Errorf("a whole body gave way: %s", during) }, nil)
	ordinary := b.Open(ignore, nil)
	for _, c := range []*Connection{crowd, whole} {
		c.beginBody()
		if err := c.reserveBody(400 << 10); err != nil {
			t.Fatal(err)
		}
	}
	whole.endBody(nil)
	ordinary.beginBody()
	granted := make(chan error)
	go func() { granted <- ordinary.reserveBody(300 << 10) }()
	for !crowd.Displaced() {
		time.Sleep(time.Millisecond)
	}
	crowd.endBody(ErrDisplaced)
	crowd.ReleaseBody()
	if err := <-granted; err != nil {
		t.Fatal(err)
	}
	if u := b.Usage(); !slices.Equal(gaveWay, []string{DuringBody}) || u.Displaced[DuringBody] != 1 || u.Bytes > 1<<20 {
		t.Errorf("gave way: %v; %+v", gaveWay, u)
	}
}

// Guards against limits without room for a single caller, and against callers that take the descriptors of others.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
		connections int
	}{{134 << 20, 4100, 1143}, {16 << 20, 4100, 136}, {1 << 30, 400, 160}, {1 << 30, 1, 1}} {
		if got := DefaultOptions().Limits(c.memory, c.descriptors).Connections; got != c.connections {
			t.Errorf("%d bytes and %d descriptors: %d connections, want %d", c.memory, c.descriptors, got, c.connections)
		}
	}
}
