package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/standin/app"
	"persimmonwing/internal/request/api"
)

func (w *harness) ready() int {
	w.t.Helper()
	resp, err := w.client.Get(w.admin + "/readyz")
	w.noErr(err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against a graceful shutdown that cuts off a stream, a queued request or a
// claimed call, that refuses requests before the load balancer can notice, or that
// accepts new connections after the drain delay.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	const drainDelay = 150 * time.Millisecond
	w := newHarness(t, func(o *Options) { o.DrainDelay = drainDelay })
	appFaults(app.Faults{DelayMS: 300})(t, w)
	is.Equal(w.ready(), http.StatusOK)

	stream := w.open(w.create("wide", "#id=stream #tokens=200", true))
	_, ok := stream.next()
	is.True(ok)
	booking, queued := make(chan response, 1), make(chan response, 1)
	call, waiting := w.service("POST", "booking", "booked"), w.create("wide", "#id=queued #tokens=3", false)
	go func() { booking <- w.send(call) }()
	is.True(eventually(func() bool { return w.runs("booked") == 1 }))
	w.scheduler.set(nil, true)
	go func() { queued <- w.send(waiting) }()
	is.True(eventually(func() bool { return w.scheduler.waitingCount() == 1 }))

	stopped := time.Now()
	w.stop()
	is.True(eventually(func() bool { return w.ready() == http.StatusServiceUnavailable }))
	late := w.send(w.request(http.MethodGet, responses+"/resp_k1.AAAA?stream=true", keyA, ""))
	is.Equal(late.status, http.StatusNotFound) // still served
	is.True(time.Since(stopped) < drainDelay)  // otherwise the check above proves nothing
	time.Sleep(drainDelay - time.Since(stopped))
	is.True(eventually(func() bool {
		c, err := net.Dial("tcp", w.address)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}))
	w.scheduler.set(nil, false)

	events := stream.rest()
	is.Equal(events[len(events)-1].Type, api.EventCompleted)
	_, count := tokens(events)
	is.Equal(count, 200)
	is.Equal((<-booking).status, http.StatusOK)
	is.Equal((<-queued).status, http.StatusOK)
	is.Equal(w.runs("queued"), 1)
	is.Equal(w.runs("booked"), 1)
}

// Guards against a graceful shutdown that closes a kept connection as idle although it has just
// read a request from it.
func TestKeptConnectionsDuringShutdown(t *testing.T) {
	const rounds, callers = 5, 100
	var sent, cut, ran atomic.Int64
	for range rounds {
		w := newHarness(t, nil)
		var wait sync.WaitGroup
		for i := range callers {
			c := w.dial()
			wait.Go(func() {
				answers := bufio.NewReader(c)
				for n := 0; ; n++ {
					before, id := w.reads.from(c), fmt.Sprintf("c%d-%d", i, n)
					body := fmt.Sprintf(`{"model":"wide","input":"#id=%s #tokens=1"}`, id)
					_, _ = fmt.Fprintf(c, "POST /v1/responses HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", keyA, len(body), body)
					sent.Add(1)
					resp, err := http.ReadResponse(answers, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err == nil && !resp.Close {
						continue
					}
					time.Sleep(10 * time.Millisecond) // the counter may lag behind the close
					if err != nil && w.reads.from(c) > before {
						cut.Add(1)
						ran.Add(int64(w.runs(id)))
					}
					return
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		w.stop()
		wait.Wait()
	}
	if n := cut.Load(); n > 0 {
		t.Errorf("%d of %d requests on kept connections were read and had no answer; %d of them ran", n, sent.Load(), ran.Load())
	}
}
