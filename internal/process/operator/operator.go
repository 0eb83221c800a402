// Package operator implements persimmonctl, the operators' command.
package operator

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/settings"
	"persimmonwing/internal/version/revision"
)

// Defaults of flags.
const (
	// defaultTimeout leaves time to resolve a lost answer across a short outage.
	defaultTimeout = 30 * time.Second
	callTimeout    = 3 * time.Second
	// defaultResolve bounds the wait for a platform that is out while the
	// outcome of an edit is not known.
	defaultResolve = 10 * time.Minute
)

// Env is what the command takes from its process. Tests replace its parts.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Author is the default author of edits.
	Author string
	HTTP   *http.Client
	// Connect returns the platform's clients.
	Connect func(tableURL, objectURL string, timeout time.Duration) (revision.Table, revision.Objects, error)
}

// SystemEnv returns the environment of the running process.
func SystemEnv() Env {
	return Env{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		Author:  os.Getenv("USER"),
		HTTP:    &http.Client{Timeout: callTimeout},
		Connect: connect,
	}
}

// command holds the parsed global flags.
type command struct {
	Env
	tableURL, objectURL, gateways, output, author string
	timeout, resolve                              time.Duration
	showVersion                                   bool
	// parent is the context of the process. A confirmation may take longer than
	// the timeout, so an edit starts a new one from it.
	parent context.Context
}

// usageError is a mistake of the caller; the exit code is settings.ExitUsage.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, env Env, args []string) int {
	c := &command{Env: env, parent: ctx}
	root := c.tree()
	c.prepare(root)
	if err := root.Parse(args); err != nil {
		return c.exit(parseError(err, root))
	}
	if c.showVersion {
		fmt.Fprintln(c.Stdout, settings.Build(root.Name))
		return settings.ExitOK
	}
	if c.output != outputTable && c.output != outputJSON {
		return c.exit(usagef("-output: %q is not allowed; use table or json", c.output))
	}
	if c.timeout <= 0 {
		return c.exit(usagef("-timeout: %v is not allowed; more than 0s", c.timeout))
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.exit(root.Run(ctx))
}

// prepare makes each flag set report errors instead of exiting, and lets the
// global flags follow the command.
func (c *command) prepare(cmd *ffcli.Command) {
	if cmd.FlagSet == nil {
		cmd.FlagSet = flag.NewFlagSet(cmd.Name, flag.ContinueOnError)
	}
	cmd.FlagSet.Init(cmd.Name, flag.ContinueOnError)
	cmd.FlagSet.SetOutput(c.Stderr)
	c.globalFlags(cmd.FlagSet)
	for _, sub := range cmd.Subcommands {
		c.prepare(sub)
	}
}

// parseError classifies an error of the command line.
func parseError(err error, root *ffcli.Command) error {
	var noExec ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return err
	case errors.As(err, &noExec):
		return usagef("a command is needed:\n%s", ffcli.DefaultUsageFunc(root))
	default:
		return usageError{err}
	}
}

// exit reports an error and returns the exit code.
func (c *command) exit(err error) int {
	var usage usageError
	var unreached *platform.Error
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return settings.ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(c.Stderr, "persimmonctl: %v\n", err)
		return settings.ExitUsage
	case errors.As(err, &unreached):
		fmt.Fprintf(c.Stderr, "persimmonctl: %v\ncheck -table-url and -object-url, and whether the platform is up\n", err)
		return settings.ExitFailure
	default:
		fmt.Fprintf(c.Stderr, "persimmonctl: %v\n", err)
		return settings.ExitFailure
	}
}

// globalFlags registers the flags of all commands.
func (c *command) globalFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.tableURL, "table-url", "", "base URL of the table service")
	fs.StringVar(&c.objectURL, "object-url", "", "base URL of the object store")
	fs.StringVar(&c.gateways, "gateways", "", "admin addresses of gateways, host:port separated by commas")
	fs.StringVar(&c.output, "output", outputTable, "output format: table or json")
	fs.StringVar(&c.author, "author", c.Author, "author of edits")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "time for one step of work at the platform or the gateways")
	fs.DurationVar(&c.resolve, "resolve-timeout", defaultResolve, "time to find out the outcome of an edit whose answer was lost")
}

// tree builds the commands.
func (c *command) tree() *ffcli.Command {
	fs := flag.NewFlagSet("persimmonctl", flag.ContinueOnError)
	fs.BoolVar(&c.showVersion, "version", false, "print the build and exit")
	fs.String("config", "", "settings file with one flag a line")
	return &ffcli.Command{
		Name:       "persimmonctl",
		ShortUsage: "persimmonctl [flags] <command>",
		FlagSet:    fs,
		Options: []ff.Option{
			ff.WithEnvVarPrefix(settings.EnvPrefix),
			ff.WithConfigFileFlag("config"),
			ff.WithConfigFileParser(ff.PlainParser),
		},
		Subcommands: []*ffcli.Command{
			c.catalogueCommand(), c.statusCommand(), c.workspacesCommand(), c.explainCommand(),
			c.drainCommand("drain", true), c.drainCommand("undrain", false), c.completionCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("command %q does not exist; see persimmonctl -h", args[0])
			}
			return usagef("a command is needed; see persimmonctl -h")
		},
	}
}

// editor connects to the platform.
func (c *command) editor() (*revision.Editor, error) {
	t, o, err := c.Connect(c.tableURL, c.objectURL, min(callTimeout, c.timeout))
	if err != nil {
		return nil, err
	}
	return revision.NewEditor(t, o), nil
}

// confirm asks before a dangerous edit.
func (c *command) confirm(yes bool, reasons []string) error {
	if yes || len(reasons) == 0 {
		return nil
	}
	fmt.Fprintf(c.Stderr, "This edit is dangerous:\n  %s\nType yes to go on: ", strings.Join(reasons, "\n  "))
	answer, _ := bufio.NewReader(c.Stdin).ReadString('\n')
	if strings.TrimSpace(answer) != "yes" {
		return errors.New("the edit was not confirmed and not sent; -yes confirms it")
	}
	return nil
}

// noArguments refuses arguments of a command that takes none.
func noArguments(name string, args []string) error {
	if len(args) > 0 {
		return usagef("%s: argument %q is not allowed; it takes flags only", name, args[0])
	}
	return nil
}
