package daemon

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

type testSettings struct {
	Size int `yaml:"size"`
}

func (s *testSettings) Validate() error { return settings.CheckRange("size", s.Size, 1, 10) }

// Guards against exit codes by which an init system can't tell a usage error from a
// failure, and against errors that don't name the binary and the cause.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, body string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad, unknown := write("good.yaml", "size: 3"), write("bad.yaml", "size: 11"), write("unknown.yaml", "colour: 3")
	failure := errors.New("cannot listen")
	tests := []struct {
		name   string
		args   []string
		err    error
		code   int
		stderr string
	}{
		{"runs", []string{"-config", good}, nil, settings.ExitOK, ""},
		{"fails", []string{"-config", good}, failure, settings.ExitFailure, "cannot listen"},
		{"check", []string{"-config", good, "-check"}, failure, settings.ExitOK, ""},
		{"version", []string{"-version"}, failure, settings.ExitOK, ""},
		{"help", []string{"-h"}, failure, settings.ExitOK, "-config"},
		{"unknown flag", []string{"-colour"}, nil, settings.ExitUsage, "colour"},
		{"bad value", []string{"-config", bad}, nil, settings.ExitUsage, "allowed are 1 to 10"},
		{"unknown key", []string{"-config", unknown}, nil, settings.ExitUsage, "colour"},
		{"no settings", nil, nil, settings.ExitUsage, "-config"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			command := Command{
				Name:     "testd",
				Settings: &testSettings{},
				Log:      func() (logging.Options, string) { return logging.DefaultOptions(), "testd" },
				Run:      func(context.Context, log.Logger) error { return tt.err },
			}
			is.Equal(command.Main(tt.args, &stdout, &stderr), tt.code)
			is.True(strings.Contains(stderr.String(), tt.stderr))
			if tt.code == settings.ExitUsage {
				is.True(strings.Contains(stderr.String(), "testd"))
			}
		})
	}
}
