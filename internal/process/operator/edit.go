package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/revision"
)

// baseCurrent is the value of -base that selects the current revision.
const baseCurrent = -1

// proposal is an edit before it is confirmed and sent.
type proposal struct {
	// base is the number of the revision that the edit is based on, or baseCurrent.
	base int64
	body []byte
	// message is used if -message is not set; if it is empty, -message is required.
	message string
	// reasons lists why the edit needs a confirmation, in addition to the reasons
	// found in its changes.
	reasons []string
	// unchanged is the current revision if the edit would change nothing, else nil.
	unchanged *revision.Revision
}

// editCommand returns a command that submits the edit which propose makes from the
// command's arguments. It adds the flags -message and -yes to fs.
func (c *command) editCommand(fs *flag.FlagSet, usage, help string, propose func(ctx context.Context, args []string) (proposal, error)) *ffcli.Command {
	message := fs.String("message", "", "reason for the edit")
	yes := fs.Bool("yes", false, "apply a dangerous edit without asking for confirmation")
	return &ffcli.Command{
		Name: fs.Name(), ShortUsage: "persimmonctl " + usage, ShortHelp: help,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseInterleaved(fs, args)
			if err != nil {
				return err
			}
			p, err := propose(ctx, args)
			if err != nil {
				return err
			}
			if r := p.unchanged; r != nil {
				return c.print(*r, nil, [][]string{{fmt.Sprintf("no changes: revision %d already says so", r.Number)}})
			}
			if *message != "" {
				p.message = *message
			}
			if p.message == "" {
				return usagef("%s: -message is needed", fs.Name())
			}
			return c.submit(ctx, p, *yes)
		},
	}
}

func (c *command) apply() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	base := fs.Int64("base", baseCurrent, "number of the revision that the file is based on; the edit is refused if another revision is current (default: the current revision)")
	return c.editCommand(fs, "catalogue apply FILE [-base N] -message M [-yes]", "apply a file as the next revision",
		func(_ context.Context, args []string) (proposal, error) {
			_, body, err := readFile(args)
			return proposal{base: *base, body: body}, err
		})
}

func (c *command) rollback() *ffcli.Command {
	fs := flag.NewFlagSet("rollback", flag.ContinueOnError)
	return c.editCommand(fs, "catalogue rollback N [-message M] [-yes]", "apply the body of an older revision as the next revision",
		func(ctx context.Context, args []string) (proposal, error) {
			if len(args) != 1 {
				return proposal{}, usagef("rollback: one revision number is needed; \"persimmonctl catalogue history\" lists them")
			}
			number, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil || number < 1 {
				return proposal{}, usagef("rollback: %q is not allowed; a revision number from 1", args[0])
			}
			_, body, err := c.storedRevision(ctx, number)
			return proposal{base: baseCurrent, body: body, message: fmt.Sprintf("rollback to revision %d", number)}, err
		})
}

func (c *command) drainCommand(name string, drain bool) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	help := map[bool]string{true: "stop sending new work to a backend server", false: "resume sending work to a drained backend server"}[drain]
	return c.editCommand(fs, name+" NAME [-message M] [-yes]", help,
		func(ctx context.Context, args []string) (proposal, error) {
			if len(args) != 1 {
				return proposal{}, usagef("%s: the name of one backend server is needed", name)
			}
			r, body, err := c.storedRevision(ctx, 0)
			if err != nil {
				return proposal{}, err
			}
			edited, changed, err := catalogue.SetDraining(body, args[0], drain)
			if err != nil || !changed {
				return proposal{unchanged: &r}, err
			}
			p := proposal{base: r.Number, body: edited, message: name + " " + args[0]}
			if drain && c.gateways != "" {
				p.reasons, err = c.unknownBackendReasons(ctx, args[0])
			}
			return p, err
		})
}

// storedRevision returns a revision with its body; number 0 means the current one.
func (c *command) storedRevision(ctx context.Context, number int64) (revision.Revision, []byte, error) {
	e, err := c.editor()
	if err != nil {
		return revision.Revision{}, nil, err
	}
	r, body, err := e.Get(ctx, number)
	if err != nil {
		return r, nil, describeNotFound(err, r, number)
	}
	return r, body, nil
}

// submit prints the changes, asks for confirmation if they are dangerous, and applies
// the body. It applies nothing if the current revision already has this body.
func (c *command) submit(ctx context.Context, p proposal, yes bool) error {
	if strings.TrimSpace(c.author) == "" {
		return usagef("-author is needed, because USER is not set")
	}
	e, err := c.editor()
	if err != nil {
		return err
	}
	head, before, err := parsedRevision(ctx, e, 0)
	var invalid *catalogue.InvalidError
	if err != nil && !errors.As(err, &invalid) {
		return err
	}
	if p.base == baseCurrent {
		p.base = head.Number
	}
	after, err := catalogue.Parse("catalogue", p.body)
	if err != nil {
		return err
	}
	if p.base == head.Number {
		if head.Digest == catalogue.Digest(p.body) {
			return c.print(head, nil, [][]string{{fmt.Sprintf("no changes: revision %d has this body", head.Number)}})
		}
		if err := c.review(before, after, invalid, p.reasons, yes); err != nil {
			return err
		}
	}
	accepted, err := c.applyAndResolve(e, p)
	if err != nil {
		return err
	}
	if accepted.HistoryErr != nil {
		fmt.Fprintf(c.Stderr, "the edit was accepted, but its history row could not be written; the next edit writes it: %v\n", accepted.HistoryErr)
	}
	return c.print(accepted.Revision, nil, [][]string{{fmt.Sprintf("accepted as revision %d", accepted.Revision.Number)}})
}

// review prints the changes and asks for confirmation if they are dangerous. A
// current body that this build rejects as invalid only requires a confirmation, so
// that a body which a newer build no longer accepts can still be replaced.
func (c *command) review(before, after *catalogue.Catalogue, invalid *catalogue.InvalidError, reasons []string, yes bool) error {
	changes := catalogue.Diff(before, after)
	for _, ch := range changes {
		fmt.Fprintln(c.Stderr, ch)
	}
	reasons = append(reasons, dangerReasons(changes, after)...)
	if invalid != nil {
		reasons = append(reasons, "the current catalogue body is not valid, so the changes can't be listed: "+invalid.Error())
	}
	return c.confirm(yes, reasons)
}

// applyAndResolve applies an edit. If the platform's response was lost, it waits up
// to c.resolve for the platform to become reachable and to show the outcome.
func (c *command) applyAndResolve(e *revision.Editor, p proposal) (revision.Accepted, error) {
	ctx, cancel := context.WithTimeout(c.parent, c.timeout)
	defer cancel()
	accepted, err := e.Apply(ctx, p.base, p.body, c.author, p.message)
	var unresolved *revision.UnresolvedError
	if !errors.As(err, &unresolved) {
		return accepted, withConflictHint(err)
	}
	fmt.Fprintf(c.Stderr, "%v\nwaiting up to %v for the platform to find out\n", err, c.resolve)
	ctx, cancel = context.WithTimeout(c.parent, c.resolve)
	defer cancel()
	accepted, err = e.Resume(ctx, unresolved)
	return accepted, withConflictHint(err)
}

// withConflictHint adds instructions for rebasing the edit to a ConflictError and
// returns other errors unchanged.
func withConflictHint(err error) error {
	var conflict *revision.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	return fmt.Errorf("%w\nread the current one with \"persimmonctl catalogue get\", make the edit in it and apply it with -base %d", err, conflict.Current.Number)
}

// errNoRevision is returned by commands that need a current revision when there is
// none.
var errNoRevision = errors.New("the catalogue has no revision yet; make the first one with \"persimmonctl catalogue apply FILE -message M\"")

// describeNotFound replaces the error of reading a revision that does not exist by
// one that says what to do. A revision that exists but whose body is missing has a
// number in r and keeps its error.
func describeNotFound(err error, r revision.Revision, number int64) error {
	switch {
	case !errors.Is(err, platform.ErrNotFound) || r.Number != 0:
		return err
	case number == 0:
		return errNoRevision
	default:
		return fmt.Errorf("revision %d doesn't exist; \"persimmonctl catalogue history\" lists those that do", number)
	}
}

// dangerReasons returns the reasons why an edit needs a confirmation. The catalogue
// doesn't list the backend servers, so the number of replicas that it configures is
// used as an estimate of their number.
func dangerReasons(changes []catalogue.Change, after *catalogue.Catalogue) []string {
	var reasons []string
	for _, ch := range catalogue.Dangerous(changes) {
		reasons = append(reasons, ch.String())
	}
	replicas := 0
	for _, m := range after.Models {
		replicas += m.Replicas
	}
	drains := slices.ContainsFunc(changes, func(ch catalogue.Change) bool {
		return ch.Part == catalogue.PartDraining && ch.Op == catalogue.Added
	})
	if n := len(after.Draining); drains && 2*n > replicas {
		reasons = append(reasons, fmt.Sprintf("%d backend servers would drain, more than half of the %d replicas that the models need in a data centre", n, replicas))
	}
	return reasons
}

// parsedRevision returns a revision with its parsed catalogue; number 0 means the
// current one. Before the first edit, the current catalogue is nil without an error.
func parsedRevision(ctx context.Context, e *revision.Editor, number int64) (revision.Revision, *catalogue.Catalogue, error) {
	r, body, err := e.Get(ctx, number)
	if errors.Is(err, platform.ErrNotFound) && number == 0 && r.Number == 0 {
		return revision.Revision{}, nil, nil
	}
	if err != nil {
		return revision.Revision{}, nil, describeNotFound(err, r, number)
	}
	parsed, err := catalogue.Parse(fmt.Sprintf("revision-%d", r.Number), body)
	return r, parsed, err
}
