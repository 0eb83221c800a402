package operator

import (
	"errors"
	"net/http"
	"net/url"
	"time"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/responsecheck"
	"persimmonwing/internal/version/revision"
)

// connect returns clients of the table service and the object store at these base
// URLs. timeout bounds each call. A URL that is not valid is a usageError.
func connect(tableURL, objectURL string, timeout time.Duration) (revision.Table, revision.Objects, error) {
	if err := errors.Join(checkURL("-table-url", tableURL), checkURL("-object-url", objectURL)); err != nil {
		return nil, nil, usageError{err}
	}
	// A copy of the default transport, so that the proxies of the environment apply.
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = responsecheck.Wrap(transport.DialContext)
	client := &http.Client{Transport: transport}
	return platform.NewTable(tableURL, client, timeout), platform.NewObjects(objectURL, client, timeout), nil
}

// checkURL rejects mistyped URLs at once; otherwise calls to them would be retried
// until the timeout.
func checkURL(name, value string) error {
	if value == "" {
		return usagef("%s must be set, such as http://127.0.0.1:7400", name)
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return usagef("%s: %q is not allowed; use http://host:port", name, value)
	}
	return nil
}
