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

// orders stores the goal of the last order applied and the models loaded for it.
// Only the loop goroutine accesses it.
type orders struct {
	honourFencing  bool
	highestFencing int64
	goal           api.Goal
	loaded         []string
	loading        []string
}

func newOrders(honourFencing bool, models []string) *orders {
	loaded := slices.Clone(models)
	return &orders{honourFencing: honourFencing, goal: api.Goal{Models: models}, loaded: loaded}
}

func (o *orders) serves(model string) bool { return slices.Contains(o.loaded, model) }

// apply makes the order's goal the current one and unloads the models that are
// not in it. It returns the models to load, or false if fencing numbers are
// honoured and the order's number is below the highest seen.
func (o *orders) apply(order api.Order) (load []string, ok bool) {
	if o.honourFencing {
		if order.Fencing < o.highestFencing {
			return nil, false
		}
		o.highestFencing = order.Fencing
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

// finishLoad records that loading a model succeeded or failed. A loaded model
// that is no longer in the goal is discarded.
func (o *orders) finishLoad(model string, success bool) {
	o.loading = slices.DeleteFunc(o.loading, func(m string) bool { return m == model })
	if success && slices.Contains(o.goal.Models, model) && !o.serves(model) {
		o.loaded = append(o.loaded, model)
	}
}

func (o *orders) state() api.OrderState {
	return api.OrderState{
		HighestFencing: o.highestFencing,
		Goal:           o.goal,
		Loaded:         append([]string{}, o.loaded...),
		Loading:        slices.Clone(o.loading),
	}
}

// load loads a model and records the result on the loop goroutine. A failed load
// is retried when an order names the model again.
func (e *Engine) load(model string) {
	err := e.fetchWeights(model)
	if err == nil {
		err = pause.For(e.stopped, e.settings.scaled(e.settings.LoadTime))
	}
	if err != nil {
		level.Warn(e.logger).Log("msg", "failed to load model", "model", model, "err", err)
	}
	_ = e.do(e.stopped, func() { e.orders.finishLoad(model, err == nil) })
}

// Timeouts and retry delay of fetching weights: weightsTimeout limits all attempts
// together, weightsCallTimeout a single attempt. Both are in real time, because the
// weight store does not apply TimeScale.
const (
	weightsTimeout     = 5 * time.Minute
	weightsCallTimeout = 30 * time.Second
	defaultRetryAfter  = 1 // in seconds, for status 429 without a valid Retry-After
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
		return 0, backoff.Permanent(eris.New("model not found in the weight store"))
	default:
		return 0, eris.Errorf("weight store returned status %s", resp.Status)
	}
}
