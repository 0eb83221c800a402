package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/pause"
)

// orders holds the goal in force and the models loaded for it. The loop
// goroutine owns it.
type orders struct {
	honourFencing bool
	highest       int64
	goal          api.Goal
	loaded        []string
	loading       []string
}

func newOrders(honourFencing bool, models []string) *orders {
	loaded := slices.Clone(models)
	return &orders{honourFencing: honourFencing, goal: api.Goal{Models: models}, loaded: loaded}
}

func (o *orders) serves(model string) bool { return slices.Contains(o.loaded, model) }

// apply puts a goal in force. It returns the models to load, or false for an
// order whose fencing number is too old.
func (o *orders) apply(order api.Order) (load []string, ok bool) {
	if o.honourFencing {
		if order.Fencing < o.highest {
			return nil, false
		}
		o.highest = order.Fencing
	}
	o.goal = order.Goal
	o.loaded = slices.DeleteFunc(o.loaded, func(m string) bool { return !slices.Contains(o.goal.Models, m) })
	for _, m := range o.goal.Models {
		if !slices.Contains(o.loaded, m) && !slices.Contains(o.loading, m) {
			o.loading = append(o.loading, m)
			load = append(load, m)
		}
	}
	return load, true
}

// finish records the end of loading a model. A model that the goal no longer
// names is discarded.
func (o *orders) finish(model string, success bool) {
	o.loading = slices.DeleteFunc(o.loading, func(m string) bool { return m == model })
	if success && slices.Contains(o.goal.Models, model) && !o.serves(model) {
		o.loaded = append(o.loaded, model)
	}
}

func (o *orders) state() api.OrderState {
	return api.OrderState{
		HighestFencing: o.highest,
		Goal:           o.goal,
		Loaded:         append([]string{}, o.loaded...),
		Loading:        slices.Clone(o.loading),
	}
}

// load loads a model and reports the result to the loop. A failed load is
// tried again when the next order states the goal.
func (e *Engine) load(model string) {
	err := e.fetchWeights(model)
	if err == nil {
		err = pause.For(e.stopped, e.settings.scaled(e.settings.LoadTime))
	}
	if err != nil {
		level.Warn(e.logger).Log("msg", "model was not loaded", "model", model, "err", err)
	}
	_ = e.do(e.stopped, func() { e.orders.finish(model, err == nil) })
}

// Bounds of fetching weights. The pauses are real time, because the weight
// store's clock is not scaled.
const (
	weightsTimeout     = 5 * time.Minute
	weightsCallTimeout = 30 * time.Second
	defaultRetryAfter  = 1 // seconds, for a 429 without a valid Retry-After
)

func (e *Engine) fetchWeights(model string) error {
	if e.settings.WeightsURL == "" {
		return nil
	}
	address := e.settings.WeightsURL + "/weights/" + url.PathEscape(model)
	fetch := func() (int64, error) { return fetchOnce(e.stopped, address) }
	_, err := backoff.Retry(e.stopped, fetch, backoff.WithMaxElapsedTime(weightsTimeout))
	return eris.Wrap(err, "fetch weights")
}

func fetchOnce(ctx context.Context, address string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, weightsCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, backoff.Permanent(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return io.Copy(io.Discard, resp.Body)
	case http.StatusTooManyRequests:
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		if err != nil || seconds < 0 {
			seconds = defaultRetryAfter
		}
		return 0, backoff.RetryAfter(seconds)
	case http.StatusNotFound:
		return 0, backoff.Permanent(eris.New("weight store does not have the model"))
	default:
		return 0, eris.Errorf("weight store answered %s", resp.Status)
	}
}
