package forward

import (
	"time"

	"persimmonwing/internal/process/balance"
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// chosenServer is the server that one send of a call goes to.
type chosenServer struct {
	name string
	// done records the end of the send for the server's health, and ended for what is known of its speed.
	done  func(time.Time, health.Result)
	ended func(took time.Duration)
}

// end records the end of a send. took is the time that the server needed, or 0 if the end says nothing about that.
func (c *chosenServer) end(r health.Result, took time.Duration) {
	c.ended(took)
	c.done(time.Now(), r)
}

// chooseServer chooses a server for a call among those that take new work and are not in tried. It prefers those that
// are likely to have a free slot. It returns an error if none is left, or if the call would miss its deadline in each
// queue.
func (f *Forwarder) chooseServer(q *Request, tried []string) (*chosenServer, *fault.Error) {
	now := time.Now()
	loads := f.o.Loads(q.Service)
	var choice balance.Choice
	incarnations := map[string]int64{}
	b, done, ok := f.o.Health(q.Service).Pick(now, f.o.Servers.Service(now, q.Service, f.o.DataCentre), tried, func(eligible []health.Eligible) int {
		candidates := make([]balance.Candidate, len(eligible))
		for i, e := range eligible {
			s, _ := f.o.Servers.Get(e.Name)
			incarnations[e.Name] = s.StartedMS
			candidates[i] = balance.Candidate{Name: e.Name, Incarnation: s.StartedMS, Home: e.DataCentre == f.o.DataCentre, Share: e.Share}
		}
		var known bool
		choice, known = loads.Choose(now, candidates, balance.Need{Target: q.Route.Target, Left: q.Deadline.Sub(now)}, f.o.Random())
		if !known {
			return -1
		}
		return choice.Index
	})
	if !ok {
		return nil, f.noServerError(q)
	}
	q.Chosen = choice
	if choice.Hopeless {
		done(now, health.Abandoned)
		f.o.Metrics.Counter("choices_hopeless", q.Service).Inc(1)
		return nil, fault.New(fault.NoCapacity, stepPlace, "", api.NotRun, "all servers of service %s have stated queues that outlast the deadline", q.Service).WithRetryAfter(defaultRetryAfter)
	}
	if choice.Known {
		f.o.Metrics.Observe(telemetry.LoadAge, q.Service, "call", choice.Age)
	}
	if choice.AllFull {
		f.o.Metrics.Counter("choices_all_full", q.Service).Inc(1)
	}
	return &chosenServer{name: b.Name, done: done, ended: loads.Sent(now, b.Name, incarnations[b.Name])}, nil
}

// loadFields are the inputs of the choice of a call's server, for its line in the log.
func (q *Request) loadFields() []any {
	if !q.Chosen.Known {
		return nil
	}
	return []any{"load_age_ms", q.Chosen.Age.Milliseconds(), "load_expected", int(q.Chosen.Busy + 0.5), "load_slots", q.Chosen.Slots}
}
