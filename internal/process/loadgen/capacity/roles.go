package capacity

// writeRoleSums writes the total cost of each role of a gateway at the target sizes.
func (r *report) writeRoleSums() {
	gossipSuffix := "in 8 data centres"
	control := r.lines["peer bytes of a gateway"]
	slope, _ := fitLine(control.points)
	edits := float64(targetEditsPerDay) / secondsPerDay * r.targetValue("catalogue body") * r.targetValue("edit bytes")
	// Each gateway that is not the elected poller reads the host list every 10 s.
	const hostListReadsPerSecond = 0.1
	byteTerms := []term{
		{"gossip", r.targetValue("gossip bytes " + gossipSuffix)},
		{"grants: Acquire, Release, Renew, pings", slope * targetRequests},
		{"polls of engines, mean", r.targetValue("engine poll bytes")},
		{"host list every 10 s", hostListReadsPerSecond * r.targetValue("host list read bytes")},
		{"changes of the host list", listChangesPerDay / secondsPerDay * r.targetValue("changed host list read bytes")},
		{"catalogue fetches", edits},
		{"claims, handed to the collector", r.targetValue("claim bytes of a gateway")},
	}
	r.sum("control bytes of a gateway", "B/s", budgetBytes, byteTerms)
	poller := append(append([]term(nil), byteTerms...), term{"host list every second instead", (1 - hostListReadsPerSecond) * r.targetValue("host list read bytes")})
	r.sum("control bytes of an elected poller", "B/s", budgetBytes, poller)
	// Half of the bytes of grants are requests and half are responses. The responses
	// come from the 10 of the 50 gateways of a data centre that own its ten groups.
	owner := append(append([]term(nil), byteTerms...),
		term{"polls of 8 owned replicas instead of the mean", r.targetValue("engine poll bytes of an owner") - r.targetValue("engine poll bytes")},
		term{"answers for its group instead of the mean", slope / 2 * (targetGroupRequests - targetRequests)})
	r.sum("control bytes of a group owner", "B/s", budgetBytes, owner)
	collector := append(append([]term(nil), byteTerms...), term{"claims of the data centre, with the table", r.targetValue("claim bytes of a collector") - r.targetValue("claim bytes of a gateway")})
	r.sum("control bytes of a claim collector", "B/s", budgetBytes, collector)
	cpuTerms := []term{
		{"gossip", r.targetValue("gossip CPU " + gossipSuffix)},
		{"decisions, 8 a second", targetRequests * r.targetValue("decision") / 1e4},
		{"polls of engines, upper bound", r.targetValue("engine poll CPU")},
		{"host list every 10 s", hostListReadsPerSecond * r.targetValue("host list read CPU") / 1e4},
		{"catalogue", r.targetValue("catalogue CPU")},
	}
	r.sum("control CPU of a gateway", "% core", budgetCPUPercent, cpuTerms)
	r.sum("control CPU of an elected poller", "% core", budgetCPUPercent, append(cpuTerms, term{"host list every second instead", (1 - hostListReadsPerSecond) * r.targetValue("host list read CPU") / 1e4}))
	// The fixed memory of the process has the least effect in the largest fleet.
	points := r.lines["idle gateway memory"].points
	largest := points[len(points)-1]
	memoryTerms := []term{
		{"idle gateway with catalogue and 49 peers", largest.value / largest.size},
		{"membership of 400 gateways and 600 engines", r.targetValue("gossip memory " + gossipSuffix)},
		{"metrics", r.targetValue("metrics memory")},
		{"explain records", r.targetValue("explain memory")},
		{"one owned group, 1,000 waiting", r.targetValue("owned group memory")},
		{"50 streams", r.targetValue("stream memory")},
		{"buffers of 100 sockets, 20 KB a stream, assumed", targetStreams * 20e3},
	}
	total := 0.0
	for _, p := range memoryTerms {
		total += p.value
	}
	memoryTerms = append(memoryTerms, term{"as much again: the collector lets the heap double", total}, term{"runtime and binary in memory, assumed", 12e6})
	r.sum("memory of a gateway", "B", budgetMemory, memoryTerms)
}
