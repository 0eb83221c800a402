package platform

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Objects is a client for an object store that supports a subset of S3. Objects are written once and
// never changed.
type Objects struct{ caller caller }

// NewObjects returns a client for the store at the base URL, to which the names of the buckets are
// appended. Each call ends after timeout at the latest.
func NewObjects(base string, c *http.Client, timeout time.Duration) *Objects {
	return &Objects{caller: newCaller(base, c, timeout)}
}

// Put writes a new object. It returns ErrExists if the object exists. If ErrExists follows an earlier
// attempt with ErrUnknownOutcome, that attempt may have written the object.
func (o *Objects) Put(ctx context.Context, bucket, key string, body []byte) error {
	status, _, err := o.caller.do(ctx, call{
		step:   "objects.put",
		method: http.MethodPut,
		path:   objectPath(bucket, key),
		header: http.Header{"If-None-Match": {"*"}},
		body:   body,
		write:  true,
		accept: []int{http.StatusPreconditionFailed},
	})
	if err != nil {
		return err
	}
	if status == http.StatusPreconditionFailed {
		return ErrExists
	}
	return nil
}

// Get returns an object, or ErrNotFound.
func (o *Objects) Get(ctx context.Context, bucket, key string) ([]byte, error) {
	status, body, err := o.caller.do(ctx, call{
		step:   "objects.get",
		method: http.MethodGet,
		path:   objectPath(bucket, key),
		accept: []int{http.StatusNotFound},
	})
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotFound {
		return nil, ErrNotFound
	}
	return body, nil
}

// objectPath returns the escaped URL path of an object. Slashes in the key are not escaped.
func objectPath(bucket, key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/" + url.PathEscape(bucket) + "/" + strings.Join(parts, "/")
}
