package operator

import (
	"errors"
	"time"

	"persimmonwing/internal/version/revision"
)

// connect returns the clients of the table and of the object store at these
// base URLs. Timeout bounds one call.
func connect(tableURL, objectURL string, timeout time.Duration) (revision.Table, revision.Objects, error) {
	if tableURL == "" || objectURL == "" {
		return nil, nil, usageError{errors.New("-table-url and -object-url must be set")}
	}
	return nil, nil, errors.New("this build has no clients of the platform's table and object store")
}
