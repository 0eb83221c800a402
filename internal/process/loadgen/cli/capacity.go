package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/loadgen/capacity"
)

func capacityCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("loadgen capacity", stderr)
	only := fs.String("only", "", "measure one `part`: "+strings.Join(capacity.Sections(), ", "))
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "loadgen capacity [-only part]",
		ShortHelp:  "Measures how costs grow with the fleet and compares them with the budgets.",
		LongHelp:   "Lines over their budget are marked OVER and do not change the exit code.",
		FlagSet:    fs,
		Options:    options(),
		Exec: markRunErrors(func(ctx context.Context, _ []string) error {
			if *only != "" && !slices.Contains(capacity.Sections(), *only) {
				return newUsageError(fmt.Errorf("only: %q is not allowed; use one of %v", *only, capacity.Sections()))
			}
			_, err := capacity.Run(ctx, stdout, *only)
			return err
		}),
	}
}
