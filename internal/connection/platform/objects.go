package platform

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Objects is the client of an object store with a subset of S3. Objects are
// written once and never changed.
type Objects struct{ caller caller }

// NewObjects returns a client; base is the URL under which the buckets are.
func NewObjects(base string, c *http.Client, timeout time.Duration) *Objects {
	return &Objects{caller: newCaller(base, c, timeout)}
}

// Put writes a new object, or returns ErrExists. After an error with
// ErrUnknownOutcome, ErrExists may mean that the first attempt took effect.
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

// objectPath keeps the slashes of the key and escapes the rest.
func objectPath(bucket, key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/" + url.PathEscape(bucket) + "/" + strings.Join(parts, "/")
}
