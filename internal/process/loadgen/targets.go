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

// Bounds of the connections to the targets.
const (
	dialTimeout      = 2 * time.Second
	idlePerTarget    = 4096
	idleTimeout      = 30 * time.Second
	maxAnswerBytes   = 16 << 20
	maxEventBytes    = 256 << 10
	maxRefusedToTell = 1 << 20
)

// ParseTargets checks the base URLs of gateways.
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

// newHTTPClient returns a client without a time limit for whole answers, as
// streams last long.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// sender sends one request to a random target, like a plain balancer.
type sender struct {
	http      *http.Client
	targets   []string
	readiness *readiness
	random    *rand.Rand
	// skipped counts targets that refused the connection.
	skipped int
	// target is the one that was tried last.
	target string
}

// send tries the targets in random order until one takes the connection. The
// request was not sent to those that refused.
func (s *sender) send(build func(target string) (*http.Request, error)) (*http.Response, error) {
	var last error
	for _, i := range s.readiness.order(s.random.Perm(len(s.targets))) {
		req, err := build(s.targets[i])
		if err != nil {
			return nil, err
		}
		s.target = s.targets[i]
		resp, err := s.http.Do(req)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return resp, err
		}
		s.skipped++
		last = err
	}
	return nil, last
}
