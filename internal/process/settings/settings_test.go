package settings

import (
	"bytes"
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type noSettings struct{}

func (noSettings) Validate() error { return nil }

// Guards against accepting a command line without a settings file, with arguments
// that are not flags or with an unknown flag, and against messages that don't say
// which of these is wrong.
func TestCommandLineFaults(t *testing.T) {
	is := is.New(t)
	err := Load("", noSettings{})
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
