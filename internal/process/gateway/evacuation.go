package gateway

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/evacuation"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/version/catalogue"
)

// evacuations are the evacuated data centres of the current catalogue. It is safe for concurrent use.
type evacuations struct {
	mu  sync.Mutex
	set evacuation.Set
}

// apply takes over the list of a catalogue revision and returns the changes. An evacuation keeps the
// revision in which this gateway saw it first.
func (e *evacuations) apply(now time.Time, s *catalogue.Snapshot) []evacuation.Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []evacuation.Evacuation
	for _, dataCentre := range s.Evacuated {
		old, known := e.set.Get(dataCentre)
		if !known {
			old = evacuation.Evacuation{DataCentre: dataCentre, Revision: s.Revision}
		}
		list = append(list, old)
	}
	return e.set.Replace(now, list)
}

// contains reports whether a data centre is evacuated.
func (e *evacuations) contains(dataCentre string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.Contains(dataCentre)
}

func (e *evacuations) list() []evacuation.Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.List()
}

// applyEvacuations applies the list of a new catalogue revision. Application servers whose data centre was
// taken back begin with a slow start. The scheduler does this itself for engines.
func (p *process) applyEvacuations(s *catalogue.Snapshot) {
	now, logger := time.Now(), logging.Part(p.logger, "catalogue")
	for _, c := range p.evacuations.apply(now, s) {
		if c.Began {
			p.metrics.Counter("evacuations").Inc(1)
			_ = level.Info(logger).Log("msg", "data centre evacuated", "data_centre", c.DataCentre, "revision", c.Revision)
			continue
		}
		for _, b := range p.gossiper.Applications(c.DataCentre) {
			p.gateway.serviceSets.get(b.Service).Return(now, b.Name)
		}
		_ = level.Info(logger).Log("msg", "evacuation taken back", "data_centre", c.DataCentre, "revision", s.Revision, "lasted_ms", now.Sub(c.Since).Milliseconds())
	}
	p.metrics.Gauge("evacuated_data_centres").Update(int64(len(p.evacuations.list())))
	p.manager.BackendsChanged()
}
