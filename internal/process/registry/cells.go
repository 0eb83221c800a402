package registry

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/cell"
	"persimmonwing/internal/process/membership"
)

// cellPeriod is the time between two updates of the cells. A gateway uses a new engine, and another
// gateway instead of one that has ended, so much later in a fleet of several cells; calls to a gateway that
// does not answer go to the next one before.
const cellPeriod = 250 * time.Millisecond

// Cells keeps the division of the fleet into cells up to date for a View. It is safe for concurrent use.
type Cells struct {
	gossiper *membership.Gossiper
	registry *Registry
	logger   log.Logger
	// observe is called with the cells of the fleet and the gateways and engines of this one. It must not block.
	observe func(cells, gateways, engines int)

	mu        sync.Mutex
	division  cell.Division
	peers     []membership.Gateway
	updatedAt time.Time
	// names and engineNames hold the gateways and the engines of the last division, engineSet is the registry's number
	// of the set of engines.
	names, engineNames []string
	engineSet          uint64
}

// NewCells returns the cells of the fleet that a gossiper and a registry know. observe may be nil.
func NewCells(gossiper *membership.Gossiper, registry *Registry, logger log.Logger, observe func(cells, gateways, engines int)) *Cells {
	if observe == nil {
		observe = func(int, int, int) {}
	}
	return &Cells{gossiper: gossiper, registry: registry, logger: logger, observe: observe}
}

// engines returns the engines of this gateway's cell, or nil if the fleet is one cell. A nil *Cells is always one.
func (c *Cells) engines(now time.Time) map[string]bool {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(now)
	return c.division.Engines()
}

// Gateways returns the live gateways of this gateway's cell, this one included.
func (c *Cells) Gateways() []membership.Gateway {
	c.mu.Lock()
	c.update(time.Now())
	peers, one := c.peers, c.division.Cells() == 1
	c.mu.Unlock()
	if one {
		return c.gossiper.Live()
	}
	return peers
}

// update applies changes of the fleet if cellPeriod has passed. The caller holds the lock.
func (c *Cells) update(now time.Time) {
	if now.Sub(c.updatedAt) < cellPeriod {
		return
	}
	c.updatedAt = now
	live, self := c.gossiper.Live(), c.gossiper.Self().Name
	names := make([]string, 0, len(live))
	for _, g := range live {
		names = append(names, g.Name)
	}
	engines, set := c.registry.engineNames(c.engineSet)
	if set != c.engineSet {
		c.engineNames, c.engineSet = engines, set
	} else if slices.Equal(names, c.names) {
		c.setPeers(live, self)
		return
	}
	c.names = names
	before := c.division.Cells()
	c.division.Update(self, names, c.engineNames)
	c.setPeers(live, self)
	own := len(c.engineNames)
	if c.division.Cells() > 1 {
		own = len(c.division.Engines())
	}
	if before != c.division.Cells() {
		_ = level.Info(c.logger).Log("msg", "number of cells changed", "cells", c.division.Cells(), "before", before, "engines", len(c.engineNames), "own_gateways", len(c.peers), "own_engines", own)
	}
	c.observe(c.division.Cells(), len(c.peers), own)
}

// setPeers chooses the gateways of this one's cell. The caller holds the lock.
func (c *Cells) setPeers(live []membership.Gateway, self string) {
	c.peers = nil
	for _, g := range live {
		if c.division.SameCell(g.Name, self) {
			c.peers = append(c.peers, g)
		}
	}
}
