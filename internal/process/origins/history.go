package origins

import (
	"maps"
	"slices"
	"time"
)

// History is the software versions that have served in each service. It has no input or output. Times are those of a clock
// that runs on while the host is suspended.
type History struct {
	// since is the time from which on this process has observed the list of servers, and completeSince the earlier times from which on
	// all versions of a service are known from others.
	since         time.Duration
	completeSince map[string]time.Duration
	// observedSince is the first time at which each service was observed: one may have been added to those that are.
	observedSince map[string]time.Duration
	// seen is the last time at which a version had a server, by service and version.
	seen map[string]map[string]time.Duration
}

// NewHistory returns the history of a process that observes the list of servers from now on.
func NewHistory(now time.Duration) *History {
	return &History{
		since: now, completeSince: map[string]time.Duration{}, observedSince: map[string]time.Duration{}, seen: map[string]map[string]time.Duration{},
	}
}

// Observe records that a version has a server, or that a stream has begun at one.
func (h *History) Observe(now time.Duration, service, version string) {
	if h.seen[service] == nil {
		h.seen[service], h.observedSince[service] = map[string]time.Duration{}, now
	}
	h.seen[service][version] = max(now, h.seen[service][version])
}

// Gap records that the list of servers was not observed for a while until now. Only others know the versions of that time.
func (h *History) Gap(now time.Duration) {
	h.since = now
	clear(h.completeSince)
}

// CompleteSince returns the time from which on all versions of a service are known.
func (h *History) CompleteSince(service string) time.Duration {
	own := max(h.since, h.observedSince[service])
	if since, ok := h.completeSince[service]; ok {
		return min(since, own)
	}
	return own
}

// Restore adds what the store has of a service. clock is the store's clock at time now.
func (h *History) Restore(now, clock time.Duration, service string, s Served) {
	if len(s.Versions) == 0 {
		return // nothing is recorded, or it can't be read
	}
	for version, left := range s.Versions {
		at := now // a version that is recorded as present may have lost its last server just now
		if left > 0 {
			at = now - max(0, clock-left)
		}
		h.Observe(at, service, version)
	}
	h.completeSince[service] = min(h.CompleteSince(service), now-max(0, clock-s.Since))
}

// Possible returns the versions at which a stream of a service that is at most window old may have begun, sorted. known is false if
// others may have served, too.
func (h *History) Possible(now time.Duration, service string, window time.Duration) (versions []string, known bool) {
	for version, at := range h.seen[service] {
		if now-at <= window {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions, now-h.CompleteSince(service) > window
}

// Prune forgets versions that had no server for longer than servedRetention.
func (h *History) Prune(now time.Duration) {
	for _, versions := range h.seen {
		maps.DeleteFunc(versions, func(_ string, at time.Duration) bool { return now-at > servedRetention })
	}
}

// Served is what the store has of a service, for gateways that start. Its times are those of the store's clock.
type Served struct {
	// Versions holds, by version, the time at which its last server had left, or 0 while it has one.
	Versions map[string]time.Duration
	// Since is the time from which on all versions are known.
	Since time.Duration
}

// Update returns what the store should have of a service according to h, whose present versions were observed now, and whether that
// differs. clock is the store's clock. Versions that left more than servedRetention ago are dropped.
func (h *History) Update(now, clock time.Duration, service string, s Served, present []string) (next Served, differs bool) {
	next = Served{Versions: map[string]time.Duration{}, Since: clock - (now - h.CompleteSince(service))}
	if len(s.Versions) > 0 {
		next.Since = min(next.Since, s.Since)
	}
	for version, at := range h.seen[service] {
		next.Versions[version] = max(1, clock-(now-at))
	}
	for version, left := range s.Versions {
		switch {
		case left == 0 && next.Versions[version] == 0:
			next.Versions[version] = max(1, clock)
		case left > 0:
			next.Versions[version] = max(left, next.Versions[version])
		}
	}
	maps.DeleteFunc(next.Versions, func(_ string, left time.Duration) bool { return clock-left > servedRetention })
	for _, version := range present {
		next.Versions[version] = 0
	}
	return next, next.differs(s, clock)
}

// differs reports whether s says more than what the store has: another version, another state of one, or a longer time that is known.
func (s Served) differs(stored Served, clock time.Duration) bool {
	if s.Since+servedTolerance < stored.Since && clock-stored.Since <= servedRetention || len(stored.Versions) == 0 && len(s.Versions) > 0 {
		return true
	}
	for version, left := range s.Versions {
		at, known := stored.Versions[version]
		if !known || (left == 0) != (at == 0) || left > at+servedTolerance {
			return true
		}
	}
	return false
}
