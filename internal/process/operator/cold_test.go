package operator

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/process/adminapi"
)

// Guards against a cold server that is hidden by a gateway which doesn't know of it, and against rights of one keeper only.
func TestMergeCold(t *testing.T) {
	is := is.New(t)
	entry := func(name string, left int64, issued int) adminapi.ColdServer {
		return adminapi.ColdServer{Name: name, LeftMS: left, Rights: 44, Issued: issued}
	}
	lines := mergeCold([]gatewayResponse[[]adminapi.ColdServer]{
		{value: []adminapi.ColdServer{entry("b", 900, 3)}}, {err: errors.New("away")}, {},
		{value: []adminapi.ColdServer{entry("b", 1000, 20), entry("a", 500, 0)}},
	})
	is.Equal(lines, []coldLine{{entry("a", 500, 0), 1}, {entry("b", 1000, 23), 2}})
}
