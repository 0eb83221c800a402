package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// Guards against leaving a data centre that has capacity, staying in one that has none,
// and choosing a group without replicas or of another model.
func TestPickGroup(t *testing.T) {
	group := func(dc, model string, replicas int, wait int64) Summary {
		return Summary{Group: GroupKey{DataCentre: dc, Model: model}, Replicas: replicas, WaitUrgentMS: wait, WaitBackgroundMS: wait}
	}
	for name, c := range map[string]struct {
		class      catalogue.Class
		candidates []Summary
		want       string
	}{
		"local within its threshold": {catalogue.Urgent, []Summary{group("a", "m", 1, 50), group("b", "m", 9, 0)}, "a"},
		"local above its threshold":  {catalogue.Urgent, []Summary{group("a", "m", 1, 51), group("b", "m", 9, 0)}, "b"},
		"background waits longer":    {catalogue.Background, []Summary{group("a", "m", 1, 2000), group("b", "m", 9, 0)}, "a"},
		"local empty":                {catalogue.Urgent, []Summary{group("a", "m", 0, 0), group("b", "m", 1, 900)}, "b"},
		"others are worse":           {catalogue.Urgent, []Summary{group("a", "m", 1, 800), group("b", "m", 1, 900)}, "a"},
		"other model":                {catalogue.Urgent, []Summary{group("a", "x", 1, 0), group("b", "m", 0, 0)}, ""},
		"better of two others":       {catalogue.Urgent, []Summary{group("b", "m", 1, 900), group("c", "m", 1, 300)}, "c"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(1, 0))
			key, ok := PickGroup(c.candidates, Request{Model: "m", Class: c.class}, "a", rnd)
			is.Equal(ok, c.want != "")
			is.Equal(key.DataCentre, c.want)
		})
	}
}

// Guards against sending a request to a group without free slots or to one that was
// already sent as many requests as it has slots, and against moving background work.
func TestSpill(t *testing.T) {
	group := func(dc string, free, queued int) Summary {
		return Summary{Group: GroupKey{DataCentre: dc, Model: "m"}, Replicas: 1, FreeSlots: free, QueuedUrgent: queued}
	}
	sent := func(k GroupKey) int { return map[string]int{"sent": 3}[k.DataCentre] }
	for name, c := range map[string]struct {
		class      catalogue.Class
		candidates []Summary
		want       string
	}{
		"most free":          {catalogue.Urgent, []Summary{group("first", 9, 0), group("b", 1, 0), group("c", 2, 0)}, "c"},
		"only the first":     {catalogue.Urgent, []Summary{group("first", 9, 0)}, ""},
		"full":               {catalogue.Urgent, []Summary{group("b", 0, 0)}, ""},
		"queue":              {catalogue.Urgent, []Summary{group("b", 9, 1)}, ""},
		"sent enough":        {catalogue.Urgent, []Summary{group("sent", 3, 0)}, ""},
		"sent less":          {catalogue.Urgent, []Summary{group("sent", 5, 0), group("b", 1, 0)}, "sent"},
		"background":         {catalogue.Background, []Summary{group("b", 9, 0)}, ""},
		"no replica accepts": {catalogue.Urgent, []Summary{{Group: GroupKey{DataCentre: "b", Model: "m"}, FreeSlots: 9}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			key, ok := Spill(c.candidates, Request{Model: "m", Class: c.class}, GroupKey{DataCentre: "first", Model: "m"}, sent)
			is.Equal(ok, c.want != "")
			is.Equal(key.DataCentre, c.want)
		})
	}
}

// Guards against shards of very different sizes and against moving many replicas when a
// shard is added.
func TestShards(t *testing.T) {
	is := is.New(t)
	is.Equal(ShardCount(0), 1)
	is.Equal(ShardCount(16), 1)
	is.Equal(ShardCount(17), 2)
	counts, moved := make([]int, 10), 0
	for i := range 1600 {
		name := fmt.Sprint("engine-", i)
		shard := ShardOf(name, 10)
		counts[shard]++
		if ShardOf(name, 11) != shard {
			moved++
		}
	}
	for _, n := range counts {
		is.True(n > 110 && n < 210)
	}
	is.True(moved < 1600/11*3/2)
}
