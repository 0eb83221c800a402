package relay

import "persimmonwing/internal/request/api"

// pumpBuffer is the maximum number of events that are read ahead of the relay.
const pumpBuffer = 32

// item is an event, or the error that ended the connection.
type item struct {
	event api.Event
	err   error
}

// pump reads a source in its own goroutine, so that the relay can abandon a stalled
// connection.
type pump struct {
	src   Source
	items chan item
	quit  chan struct{}
}

func startPump(src Source) *pump {
	p := &pump{src: src, items: make(chan item, pumpBuffer), quit: make(chan struct{})}
	go p.run()
	return p
}

func (p *pump) run() {
	for {
		e, err := p.src.Next()
		select {
		case p.items <- item{e, err}:
		case <-p.quit:
			return
		}
		if err != nil {
			return
		}
	}
}

// stop closes the source, which ends a pending Next.
func (p *pump) stop() {
	close(p.quit)
	_ = p.src.Close()
}
