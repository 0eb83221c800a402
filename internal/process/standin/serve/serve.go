// Package serve has the HTTP server and the handler helpers that the stand-ins
// share.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/daemon"
)

// shutdownTimeout limits a graceful shutdown, after which calls still running are
// aborted. It also limits the reading of request headers.
const shutdownTimeout = 30 * time.Second

// maxBodyBytes is the maximum size of a JSON request body.
const maxBodyBytes = 8 << 20

// ListenAndServe serves h on the address listen until ctx ends. It then calls drain
// and waits up to shutdownTimeout for the calls in progress.
func ListenAndServe(ctx context.Context, l log.Logger, listen string, h http.Handler, drain func()) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", listen, err)
	}
	return Serve(ctx, l, ln, h, drain)
}

// Serve is like ListenAndServe, but serves on the open listener ln, which it closes.
func Serve(ctx context.Context, l log.Logger, ln net.Listener, h http.Handler, drain func()) error {
	var connections daemon.Connections
	var stopping atomic.Bool
	srv := &http.Server{Handler: daemon.CloseAfterAnswers(h, stopping.Load), ReadHeaderTimeout: shutdownTimeout}
	connections.Track(srv)
	serve := func(ln net.Listener) error { return connections.Serve(srv, ln) }
	failed := make(chan error, 1)
	go func() { failed <- serve(ln) }()
	level.Info(l).Log("msg", "listening", "address", ln.Addr())
	select {
	case err := <-failed:
		return fmt.Errorf("serve on %s: %w", ln.Addr(), err)
	case <-ctx.Done():
	}
	level.Info(l).Log("msg", "draining")
	drain()
	stopping.Store(true)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if _, err := daemon.CloseListener(serve, ln); err != nil {
		level.Info(l).Log("msg", "connections in the listener's queue are not served", "err", err)
	}
	<-failed
	connections.Drain(shutdownCtx)
	if err := srv.Shutdown(shutdownCtx); err != nil {
		return errors.Join(fmt.Errorf("calls cut off after %v: %w", shutdownTimeout, err), srv.Close())
	}
	level.Info(l).Log("msg", "stopped")
	return nil
}

// ReadJSON decodes the request's body into v. If the body is malformed or has
// unknown fields, it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with the status code and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Abort ends the handler and closes the connection without a response.
func Abort() { panic(http.ErrAbortHandler) }

// Hang reads the request and returns when the client disconnects. It reads the
// body first, because net/http detects a closed connection only after that.
func Hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}
