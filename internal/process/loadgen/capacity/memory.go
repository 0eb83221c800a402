package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/explain"
	"persimmonwing/internal/version/catalogue"
)

func measureMemory(_ context.Context, r *report) error {
	var registry []point
	for _, n := range []int{10, 100, targetWorkspaces} {
		before := heapBytes()
		m := fillRegistry(n)
		registry = append(registry, point{float64(n), heapBytes() - before})
		runtime.KeepAlive(m)
	}
	r.add(line{name: "metrics memory", size: "workspaces x 2 classes x 4 measures, full reservoirs", unit: "B", points: registry, target: targetWorkspaces})
	var records []point
	for _, n := range []int{200, 1000, explain.DefaultRecords} {
		before := heapBytes()
		l := fillExplain(n)
		records = append(records, point{float64(n), heapBytes() - before})
		runtime.KeepAlive(l)
	}
	r.add(line{name: "explain memory", size: "records kept", unit: "B", points: records, target: explain.DefaultRecords})
	var groups []point
	for _, n := range []int{0, 1000, 8000} {
		before := heapBytes()
		g := fillGroup(n)
		groups = append(groups, point{float64(n), heapBytes() - before})
		runtime.KeepAlive(g)
	}
	r.add(line{name: "owned group memory", size: "waiting requests of one class, 16 replicas", unit: "B", points: groups, target: 1000,
		note: "without the goroutine that waits for each request's answer; 8,000 is the bound of the queue"})
	return nil
}

func fillRegistry(workspaces int) *telemetry.Metrics {
	m := telemetry.New()
	for i := range workspaces {
		for _, class := range []catalogue.Class{catalogue.Urgent, catalogue.Background} {
			for _, measure := range []telemetry.Measure{telemetry.FirstToken, telemetry.TokenGap, telemetry.StallTime, telemetry.QueueTime} {
				h := m.Histogram(measure, fmt.Sprintf("workspace-%03d", i), string(class))
				for v := range int64(300) {
					h.Update(v)
				}
			}
		}
	}
	return m
}

func fillExplain(n int) *explain.Log {
	l := explain.NewLog(n)
	for i := range n {
		rec := l.Start(fmt.Sprintf("request-%026d", i))
		rec.Describe("workspace-123", "travel-guide", "background")
		for _, step := range []string{"admitted", "granted", "finished"} {
			rec.Step(step, "engine-123", fmt.Sprintf("owner gateway-123, queued %v, chosen by load, %d", time.Second, i))
		}
		rec.Finish("completed")
	}
	return l
}

func fillGroup(waiting int) *schedule.Group {
	now := time.Now()
	g := schedule.NewGroup(schedule.GroupKey{DataCentre: "centre", Model: "m"}, schedule.Options{Owner: "g"})
	var list []schedule.Replica
	for i := range 16 {
		list = append(list, schedule.Replica{Name: fmt.Sprint("r", i), MaxBatch: 33, KVCapacityTokens: 60_000, Accepting: true})
	}
	g.SetReplicas(now, list)
	for i := range waiting {
		g.Enqueue(now, schedule.Request{
			ID: fmt.Sprintf("%026d", i), Gateway: fmt.Sprint("gateway-", i%targetGatewaysPerDataCentre), Workspace: fmt.Sprint("workspace-", i%targetWorkspaces),
			Weight: 1, Entry: "travel-guide", Class: catalogue.Background, Model: "m", PromptTokens: 1000, MaxOutputTokens: 2000,
			ExpectedOutputTokens: targetTokensPerRequest, Fingerprint: uint64(i + 1), PrefixHashes: make([]uint64, 16), Deadline: now.Add(time.Hour),
		})
	}
	return g
}
