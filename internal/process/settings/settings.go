// Package settings reads typed YAML settings and the command line of the binaries.
// Unknown keys are errors, and errors about invalid values state the key, the value
// and what is allowed.
package settings

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3"
	"go.yaml.in/yaml/v3"
)

// Exit codes of all binaries.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// EnvPrefix is the prefix of environment variables that set flags which the command
// line does not set.
const EnvPrefix = "PERSIMMONWING"

// Validator is implemented by settings. Validate returns an error that lists all
// invalid values.
type Validator interface{ Validate() error }

// Load decodes the YAML file at path into v, where keys that the file lacks keep
// their defaults, and validates the result.
func Load(path string, v Validator) error {
	if path == "" {
		return errors.New("settings: no file is named; use -config FILE")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return Parse(raw, path, v)
}

// Parse decodes raw into v, where keys that raw lacks keep their defaults, and
// validates the result. Errors refer to the file by name.
func Parse(raw []byte, name string, v Validator) error {
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("settings %s: %w", name, describeDecodeError(raw, err))
	}
	if err := v.Validate(); err != nil {
		return fmt.Errorf("settings %s: %w", name, err)
	}
	return nil
}

// ParseFlags parses args and PERSIMMONWING_ environment variables into fs and
// handles -version. If ok is false, the caller must exit with code.
func ParseFlags(fs *flag.FlagSet, args []string, stdout, stderr io.Writer) (code int, ok bool) {
	version := fs.Bool("version", false, "print the build and exit")
	fs.SetOutput(stderr)
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK, false
	case err != nil:
		fmt.Fprintf(stderr, "%s: %v\n", fs.Name(), err)
		return ExitUsage, false
	case *version:
		fmt.Fprintln(stdout, Build(fs.Name()))
		return ExitOK, false
	case fs.NArg() > 0:
		fmt.Fprintf(stderr, "%s: argument %q is not allowed; options are flags such as -config FILE\n", fs.Name(), fs.Arg(0))
		return ExitUsage, false
	}
	return ExitOK, true
}

// Build describes the binary: name, module version, VCS revision and Go version.
func Build(binary string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return binary + " (unknown build)"
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	return fmt.Sprintf("%s %s revision %s %s", binary, info.Main.Version, revision, info.GoVersion)
}

// CheckRange returns an error with the key, the value and the range unless
// min <= v <= max. NaN is outside every range.
func CheckRange[T int | int64 | float64](key string, v, min, max T) error {
	if !(v >= min && v <= max) {
		return fmt.Errorf("%s: %v is out of range; allowed are %v to %v", key, v, min, max)
	}
	return nil
}
