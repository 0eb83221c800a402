package settings

import (
	"bytes"
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type empty struct{}

func (empty) Validate() error { return nil }

// Guards against a command line that is taken although it names no settings, or
// more than flags, and then fails with a message that names neither.
func TestCommandLineFaults(t *testing.T) {
	is := is.New(t)
	err := Load("", empty{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "no file is named"))

	for args, want := range map[string]string{"extra": `argument "extra" is not allowed`, "-nosuch": "-nosuch"} {
		var stderr bytes.Buffer
		fs := flag.NewFlagSet("gateway", flag.ContinueOnError)
		code, ok := ParseFlags(fs, []string{args}, &stderr, &stderr)
		is.Equal(code, ExitUsage)
		is.True(!ok)
		is.True(strings.Contains(stderr.String(), want))
	}
}
