package operator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/responsecheck/responsechecktest"
)

// Guards against an object of the catalogue that is read from a response with a broken line in its head, which may
// state the object's length.
func TestInvalidNames(t *testing.T) {
	for name, raw := range responsechecktest.InvalidNames("200 OK", "", "object") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := "http://" + responsechecktest.Serve(t, responsechecktest.Once(responsechecktest.Always(raw)))
			table, objects, err := connect(address, address, time.Second)
			is.NoErr(err)
			_, err = objects.Get(t.Context(), "b", "k")
			is.True(err != nil)
			_, err = table.Get(t.Context(), "k")
			is.True(err != nil)
		})
	}
}
