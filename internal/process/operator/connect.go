package operator

import (
	"errors"
	"net/http"
	"time"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/revision"
)

// connect returns the clients of the table and of the object store at these
// base URLs. Timeout bounds one call.
func connect(tableURL, objectURL string, timeout time.Duration) (revision.Table, revision.Objects, error) {
	if tableURL == "" || objectURL == "" {
		return nil, nil, usageError{errors.New("-table-url and -object-url must be set")}
	}
	client := &http.Client{Transport: http.DefaultTransport}
	return platform.NewTable(tableURL, client, timeout), platform.NewObjects(objectURL, client, timeout), nil
}
