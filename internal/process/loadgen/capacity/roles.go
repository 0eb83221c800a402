package capacity

// roles sums up the lines of each role at the target sizes.
func (r *report) roles() {
	gossip := "in 8 data centres"
	control := r.lines["peer bytes of a gateway"]
	slope, _ := fit(control.points)
	edits := float64(targetEditsPerDay) / secondsPerDay * r.at("catalogue body") * r.at("edit bytes")
	// Each gateway that is not elected reads the host list every 10 s.
	const fallback = 0.1
	bytes := []part{
		{"gossip", r.at("gossip bytes " + gossip)},
		{"grants: Acquire, Release, Renew, pings", slope * targetRequests},
		{"polls of engines, mean", r.at("engine poll bytes")},
		{"host list every 10 s", fallback * r.at("host list read bytes")},
		{"changes of the host list", listChangesPerDay / secondsPerDay * r.at("changed host list read bytes")},
		{"catalogue fetches", edits},
		{"claims, handed to the collector", r.at("claim bytes of a gateway")},
	}
	r.sum("control bytes of a gateway", "B/s", budgetBytes, bytes)
	poller := append(append([]part(nil), bytes...), part{"host list every second instead", (1 - fallback) * r.at("host list read bytes")})
	r.sum("control bytes of an elected poller", "B/s", budgetBytes, poller)
	// Half of the bytes of grants are of questions and half of answers, and 10 of
	// the 50 gateways of a data centre answer for its ten groups.
	owner := append(append([]part(nil), bytes...),
		part{"polls of 8 owned replicas instead of the mean", r.at("engine poll bytes of an owner") - r.at("engine poll bytes")},
		part{"answers for its group instead of the mean", slope / 2 * (targetGroupRequests - targetRequests)})
	r.sum("control bytes of a group owner", "B/s", budgetBytes, owner)
	collector := append(append([]part(nil), bytes...), part{"claims of the data centre, with the table", r.at("claim bytes of a collector") - r.at("claim bytes of a gateway")})
	r.sum("control bytes of a claim collector", "B/s", budgetBytes, collector)
	core := []part{
		{"gossip", r.at("gossip CPU " + gossip)},
		{"decisions, 8 a second", targetRequests * r.at("decision") / 1e4},
		{"polls of engines, upper bound", r.at("engine poll CPU")},
		{"host list every 10 s", fallback * r.at("host list read CPU") / 1e4},
		{"catalogue", r.at("catalogue CPU")},
	}
	r.sum("control CPU of a gateway", "% core", budgetCore, core)
	r.sum("control CPU of an elected poller", "% core", budgetCore, append(core, part{"host list every second instead", (1 - fallback) * r.at("host list read CPU") / 1e4}))
	// At the largest fleet the fixed part matters least.
	points := r.lines["idle gateway memory"].points
	largest := points[len(points)-1]
	live := []part{
		{"idle gateway with catalogue and 49 peers", largest.value / largest.size},
		{"membership of 400 gateways and 600 engines", r.at("gossip memory " + gossip)},
		{"metrics", r.at("metrics memory")},
		{"explain records", r.at("explain memory")},
		{"one owned group, 1,000 waiting", r.at("owned group memory")},
		{"50 streams", r.at("stream memory")},
		{"buffers of 100 sockets, 20 KB a stream, assumed", targetStreams * 20e3},
	}
	total := 0.0
	for _, p := range live {
		total += p.value
	}
	live = append(live, part{"as much again: the collector lets the heap double", total}, part{"runtime and binary in memory, assumed", 12e6})
	r.sum("memory of a gateway", "B", budgetMemory, live)
}
