package loadgen

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"
)

// Bounds of the connections to the targets and of their responses. defaultLimit bounds
// the number of ids in each list of a result and the bytes read of a readiness response.
const (
	dialTimeout      = 2 * time.Second
	maxIdlePerTarget = 4096
	idleTimeout      = 30 * time.Second
	maxResponseBytes = 16 << 20
	maxEventBytes    = 256 << 10
	defaultLimit     = 1 << 20
)

// ParseTargets checks the base URLs of gateways and returns them. It fails if there are
// none or if one is not of the form http://host:port.
func ParseTargets(list []string) ([]string, error) {
	if len(list) == 0 {
		return nil, errors.New("targets: has 0 elements; allowed are 1 or more")
	}
	for _, t := range list {
		u, err := url.Parse(t)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" {
			return nil, fmt.Errorf("targets: %q is not allowed; use http://host:port", t)
		}
	}
	return list, nil
}

// newHTTPClient returns a client without a timeout for whole responses, as streams
// last long.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// sender sends one request to a random target, like a simple load balancer.
type sender struct {
	http      *http.Client
	targets   []string
	readiness *readiness
	random    *rand.Rand
	// connectionsRefused counts connections that targets refused.
	connectionsRefused int
	// target is the target that was tried last.
	target string
}

// send tries the targets in random order, those that are not ready last, until one
// accepts the connection. Targets that refused it have not received the request.
func (s *sender) send(build func(target string) (*http.Request, error)) (*http.Response, error) {
	var last error
	for _, i := range s.readiness.readyFirst(s.random.Perm(len(s.targets))) {
		req, err := build(s.targets[i])
		if err != nil {
			return nil, err
		}
		s.target = s.targets[i]
		resp, err := s.http.Do(req)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return resp, err
		}
		s.connectionsRefused++
		last = err
	}
	return nil, last
}
