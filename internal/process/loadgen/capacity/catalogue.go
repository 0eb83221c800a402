package capacity

import (
	"context"
	"fmt"
	"time"

	"persimmonwing/internal/version/catalogue"
)

// workspaceKey is the API key of the first workspace.
const workspaceKey = "capacity"

// catalogueOf returns a catalogue with two entries for each workspace and one
// generation entry for each model.
func catalogueOf(workspaces int) *catalogue.Catalogue {
	c := &catalogue.Catalogue{BackgroundFloor: 0.1, UrgentReserve: 0.1}
	targets := catalogue.Targets{FirstToken: 620 * time.Millisecond, TokenGap: 26 * time.Millisecond}
	for i := range targetModels {
		m := fmt.Sprint("model-", i)
		c.Models = append(c.Models, catalogue.Model{Name: m, Replicas: 8})
		c.Entries = append(c.Entries, catalogue.Entry{
			Name: fmt.Sprint("entry-", i), Owner: "planning", Kind: catalogue.Generation, Class: catalogue.Urgent, Timeout: time.Minute,
			Model: m, MaxOutputTokens: 10_000, ExpectedOutputTokens: targetTokensPerRequest,
			// Control traffic is measured with few and slow tokens, which these
			// targets allow.
			Targets: catalogue.Targets{FirstToken: 10 * time.Second, TokenGap: time.Second},
		})
	}
	for i := range workspaces {
		w := fmt.Sprintf("workspace-%03d", i)
		key := workspaceKey
		if i > 0 {
			key = w
		}
		c.Workspaces = append(c.Workspaces, catalogue.Workspace{Name: w, Weight: 1.5,
			KeyDigests: []string{catalogue.Digest([]byte(key)), catalogue.Digest([]byte(key + "2"))},
			Limits:     catalogue.Limits{RequestsPerSecond: 100_000, TokensPerSecond: 1e8}})
		c.Entries = append(c.Entries, catalogue.Entry{
			Name: w + "-guide", Owner: "planning", Kind: catalogue.Generation, Class: catalogue.Background, Timeout: time.Minute, Workspaces: []string{w},
			Model: fmt.Sprint("model-", i%targetModels), MaxOutputTokens: 10_000, ExpectedOutputTokens: targetTokensPerRequest, Targets: targets,
		}, catalogue.Entry{
			Name: w + "-booking", Owner: "booking", Kind: catalogue.Service, Class: catalogue.Urgent, Timeout: 10 * time.Second, Workspaces: []string{w},
			Service: "shop", Methods: []string{"POST"}, Path: "/bookings",
		})
	}
	return c
}

func measureCatalogue(_ context.Context, r *report) error {
	var size, parse, snapshot, perDay []point
	for _, n := range []int{10, 100, targetWorkspaces} {
		body, err := catalogue.Encode(catalogueOf(n))
		if err != nil {
			return err
		}
		before, used := heapBytes(), cpuTime()
		const rounds = 5
		var kept [rounds]*catalogue.Snapshot
		for i := range rounds {
			c, err := catalogue.Parse("capacity", body)
			if err != nil {
				return err
			}
			kept[i] = catalogue.NewSnapshot(1, "", c)
		}
		used = (cpuTime() - used) / rounds
		x := float64(n)
		size = append(size, point{x, float64(len(body))})
		parse = append(parse, point{x, float64(used.Microseconds()) / 1e3})
		snapshot = append(snapshot, point{x, (heapBytes()-before)/rounds + float64(len(body))})
		perDay = append(perDay, point{x, targetEditsPerDay * used.Seconds() / secondsPerDay * 100})
		if kept[0].Entry("entry-0") == nil {
			return fmt.Errorf("catalogue of %d workspaces lacks an entry", n)
		}
	}
	const against = "workspaces with 2 entries each"
	r.add(line{name: "catalogue body", size: against, unit: "B", points: size, target: targetWorkspaces})
	r.add(line{name: "catalogue parse", size: against, unit: "ms", points: parse, target: targetWorkspaces, note: "CPU by getrusage, no system calls"})
	r.add(line{name: "catalogue CPU", size: against, unit: "% core", points: perDay, target: targetWorkspaces, note: "1,200 edits a day"})
	r.add(line{name: "catalogue memory", size: against, unit: "B", points: snapshot, target: targetWorkspaces, note: "snapshot with indexes and body"})
	return nil
}
