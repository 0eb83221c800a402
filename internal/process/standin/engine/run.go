package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// readHeaderTimeout limits the time for reading a request's headers.
const readHeaderTimeout = 10 * time.Second

// shutdownTimeout limits the wait for open responses after the last generation
// has ended.
const shutdownTimeout = 5 * time.Second

// Run serves until ctx is done. It then refuses new generations, waits until all
// accepted ones have ended, and returns nil.
func Run(ctx context.Context, s Settings, logger log.Logger) error {
	e, err := New(s, logger)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	e.Start()
	defer e.Close()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	level.Info(e.logger).Log("msg", "engine listening", "name", s.Name, "address", listener.Addr())
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return e.shutdown(server)
}

func (e *Engine) shutdown(server *http.Server) error {
	level.Info(e.logger).Log("msg", "engine drains")
	if err := e.Drain(context.Background()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "shut down")
	}
	level.Info(e.logger).Log("msg", "engine has stopped")
	return nil
}
