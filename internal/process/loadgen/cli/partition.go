package cli

import (
	"context"
	"errors"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/loadgen/partition"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

func partitionCommand(stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("loadgen partition", stderr)
	config := fs.String("config", "", "YAML `file` with the control address, routes and callers (required)")
	return &ffcli.Command{
		Name:       "partition",
		ShortUsage: "loadgen partition -config FILE",
		ShortHelp:  "Forwards TCP connections until stopped; PUT /cuts/{name} on the control address sets or heals a cut.",
		FlagSet:    fs,
		Options:    options(),
		Exec: markRunErrors(func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return newUsageError(errors.New("partition takes no arguments; name the settings file with -config"))
			}
			var s partition.Settings
			if err := settings.Load(*config, &s); err != nil {
				return newUsageError(err)
			}
			return partition.Run(ctx, &s, logging.New(stderr, logging.DefaultOptions(), "partition"))
		}),
	}
}
