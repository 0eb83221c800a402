package revision

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/catalogue"
)

// Table is the transactional table service.
type Table interface {
	// Get returns platform.ErrNotFound for a row that doesn't exist.
	Get(ctx context.Context, key string) (platform.Row, error)
	// Txn applies each operation independently. After an error it is unknown whether
	// the operations took effect.
	Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error)
}

// Objects is the object store.
type Objects interface {
	// Put creates an object. It returns platform.ErrExists if the key exists.
	Put(ctx context.Context, bucket, key string, body []byte) error
	// Get returns platform.ErrNotFound for an object that doesn't exist.
	Get(ctx context.Context, bucket, key string) ([]byte, error)
}

// Store reads and writes revisions on the platform.
type Store struct {
	Table   Table
	Objects Objects
}

// Head returns the current revision, or platform.ErrNotFound before the first edit.
func (s Store) Head(ctx context.Context) (Revision, error) {
	head, _, err := s.headRow(ctx)
	return head, err
}

// headRow returns the current revision and its row.
func (s Store) headRow(ctx context.Context) (Revision, platform.Row, error) {
	return s.row(ctx, HeadKey)
}

func (s Store) history(ctx context.Context, number int64) (Revision, error) {
	r, _, err := s.row(ctx, HistoryKey(number))
	return r, err
}

func (s Store) row(ctx context.Context, key string) (Revision, platform.Row, error) {
	row, err := s.Table.Get(ctx, key)
	if err != nil {
		return Revision{}, platform.Row{}, fmt.Errorf("read row %s: %w", key, err)
	}
	r, err := decode(key, row.Value)
	return r, row, err
}

// Body returns the body with the given digest. The error wraps ErrDigest if the content
// does not match.
func (s Store) Body(ctx context.Context, digest string) ([]byte, error) {
	body, err := s.Objects.Get(ctx, Bucket, digest)
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", digest, err)
	}
	if got := catalogue.Digest(body); got != digest {
		return nil, fmt.Errorf("read object %s: %w (content has %s)", digest, ErrDigest, got)
	}
	return body, nil
}

// putBody stores a body. If the object exists, it is read back and verified, because a
// damaged object would prevent the revision from being installed.
func (s Store) putBody(ctx context.Context, digest string, body []byte) error {
	err := s.Objects.Put(ctx, Bucket, digest, body)
	if errors.Is(err, platform.ErrExists) {
		_, err = s.Body(ctx, digest)
		return err
	}
	if err != nil {
		return fmt.Errorf("write object %s: %w", digest, err)
	}
	return nil
}

// putHistory writes the history row of an accepted revision if it does not exist.
func (s Store) putHistory(ctx context.Context, r Revision) error {
	raw, err := r.encode()
	if err != nil {
		return err
	}
	key := HistoryKey(r.Number)
	results, err := s.Table.Txn(ctx, []platform.CondPut{{Key: key, Value: raw}})
	if err != nil {
		return fmt.Errorf("write row %s: %w", key, err)
	}
	if len(results) != 1 {
		return fmt.Errorf("write row %s: %d results for 1 operation", key, len(results))
	}
	return nil
}

// Bounds of the backoff between attempts to reach the platform.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}

// retry repeats an idempotent step until it succeeds or ctx ends, and returns the error
// of the last attempt. It does not repeat a step that fails with platform.ErrNotFound
// or ErrDigest.
func retry[T any](ctx context.Context, step func() (T, error)) (T, error) {
	var last error
	value, err := backoff.Retry(ctx, func() (T, error) {
		v, err := step()
		last = err
		if errors.Is(err, platform.ErrNotFound) || errors.Is(err, ErrDigest) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return value, last
	}
	return value, nil
}

// retryErr is like retry for a step that returns only an error.
func retryErr(ctx context.Context, step func() error) error {
	_, err := retry(ctx, func() (struct{}, error) { return struct{}{}, step() })
	return err
}
