package cli

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/loadgen/capacity"
)

func capacityCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "loadgen capacity",
		ShortHelp:  "Measures how costs grow with the fleet and compares them with the budgets.",
		LongHelp:   "Lines over their budget are marked OVER and do not change the exit code.",
		FlagSet:    newFlagSet("loadgen capacity", stderr),
		Options:    options(),
		Exec: marked(func(ctx context.Context, _ []string) error {
			_, err := capacity.Run(ctx, stdout)
			return err
		}),
	}
}
