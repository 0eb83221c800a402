// Package operator implements persimmonctl, the command-line tool for operators.
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

// Defaults of flags, and callTimeout, which bounds one call to the platform or a
// gateway.
const (
	// defaultTimeout is long enough to find out, across a short outage of the
	// platform, whether an edit was accepted when its response was lost.
	defaultTimeout = 30 * time.Second
	callTimeout    = 3 * time.Second
	// defaultResolve bounds the wait for an unreachable platform while the outcome
	// of an edit is not known.
	defaultResolve = 10 * time.Minute
)

// Env is the environment in which a command runs. Tests replace its fields.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Author is the default author of edits.
	Author string
	HTTP   *http.Client
	// Connect returns clients of the platform's table service and object store.
	// timeout bounds each call.
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
	// parent is the context of the process. Waiting for a confirmation may take
	// longer than timeout, so applying an edit derives a new context from parent.
	parent context.Context
}

// usageError is an error in the command line; the exit code is settings.ExitUsage.
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

// prepare makes the flag set of cmd and its subcommands return errors instead of
// exiting, and registers the global flags in it, so that they may follow the command.
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

// parseError converts an error of parsing the command line into a usageError.
// flag.ErrHelp stays as it is.
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

// exit prints err, if any, and returns the exit code.
func (c *command) exit(err error) int {
	var usage usageError
	var platformErr *platform.Error
	var code exitCode
	switch {
	case errors.As(err, &code):
		return int(code)
	case err == nil, errors.Is(err, flag.ErrHelp):
		return settings.ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(c.Stderr, "persimmonctl: %v\n", err)
		return settings.ExitUsage
	case errors.As(err, &platformErr):
		fmt.Fprintf(c.Stderr, "persimmonctl: %v\ncheck -table-url and -object-url, and whether the platform is up\n", err)
		return settings.ExitFailure
	default:
		fmt.Fprintf(c.Stderr, "persimmonctl: %v\n", err)
		return settings.ExitFailure
	}
}

// globalFlags registers the flags that all commands have.
func (c *command) globalFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.tableURL, "table-url", "", "base URL of the table service")
	fs.StringVar(&c.objectURL, "object-url", "", "base URL of the object store")
	fs.StringVar(&c.gateways, "gateways", "", "admin addresses of the gateways, as host:port separated by commas")
	fs.StringVar(&c.output, "output", outputTable, "output format: table or json")
	fs.StringVar(&c.author, "author", c.Author, "author of edits")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "time limit for the command's requests; applying an edit has a separate limit of the same length")
	fs.DurationVar(&c.resolve, "resolve-timeout", defaultResolve, "time limit for finding out whether an edit was accepted when the platform's response was lost")
}

// tree returns the root command with all subcommands.
func (c *command) tree() *ffcli.Command {
	fs := flag.NewFlagSet("persimmonctl", flag.ContinueOnError)
	fs.BoolVar(&c.showVersion, "version", false, "print the build and exit")
	fs.String("config", "", "settings file that sets one flag per line, such as: timeout 10s")
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
			c.catalogueCommand(), c.configCommand(), c.statusCommand(), c.workspacesCommand(), c.explainCommand(),
			c.drainCommand("drain", true), c.drainCommand("undrain", false),
			c.evacuateCommand("evacuate", true), c.evacuateCommand("unevacuate", false), c.completionCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("command %q does not exist; see persimmonctl -h", args[0])
			}
			return usagef("a command is needed; see persimmonctl -h")
		},
	}
}

// editor returns an editor of the catalogue at the platform.
func (c *command) editor() (*revision.Editor, error) {
	t, o, err := c.Connect(c.tableURL, c.objectURL, min(callTimeout, c.timeout))
	if err != nil {
		return nil, err
	}
	return revision.NewEditor(t, o), nil
}

// confirm asks for confirmation on standard input unless yes is set or there are no
// reasons to ask. It returns an error if the reply is not "yes".
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

// noArguments returns a usageError if a command without arguments was given some.
func noArguments(name string, args []string) error {
	if len(args) > 0 {
		return usagef("%s: argument %q is not allowed; it takes flags only", name, args[0])
	}
	return nil
}
