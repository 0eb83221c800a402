// Package serve runs the HTTP server of a stand-in and holds the helpers that
// its handlers share.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// drainLimit bounds a graceful shutdown; calls still running then are cut off.
const drainLimit = 30 * time.Second

// maxControlBody bounds the body of a JSON request, in bytes.
const maxControlBody = 8 << 20

// HTTP serves h on the address listen until ctx ends, calls drain, and then
// waits for the calls in progress.
func HTTP(ctx context.Context, l log.Logger, listen string, h http.Handler, drain func()) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", listen, err)
	}
	return Listener(ctx, l, ln, h, drain)
}

// Listener is HTTP on a listener that is already open. It closes ln.
func Listener(ctx context.Context, l log.Logger, ln net.Listener, h http.Handler, drain func()) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: drainLimit}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	level.Info(l).Log("msg", "listening", "address", ln.Addr())
	select {
	case err := <-failed:
		return fmt.Errorf("serve on %s: %w", ln.Addr(), err)
	case <-ctx.Done():
	}
	level.Info(l).Log("msg", "draining")
	drain()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainLimit)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		return errors.Join(fmt.Errorf("calls cut off after %v: %w", drainLimit, err), srv.Close())
	}
	level.Info(l).Log("msg", "stopped")
	return nil
}

// ReadJSON decodes the body into v and refuses unknown fields. On an error it
// answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Abort ends the handler and closes the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// Hang reads the request and returns when the client gives up. The server sees
// a closed connection only after the body was read.
func Hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}
