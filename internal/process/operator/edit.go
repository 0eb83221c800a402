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

// noBase is the value of -base that stands for the current revision.
const noBase = -1

// proposal is an edit before it is confirmed and sent.
type proposal struct {
	// base is the revision it is based on, or noBase.
	base int64
	body []byte
	// message is the reason if -message is not set; "" means that it must be.
	message string
	// reasons are reasons to ask for a confirmation besides those in the changes.
	reasons []string
	// unchangedSince is the current revision if the edit would change nothing.
	unchangedSince *revision.Revision
}

// editCommand returns a command that proposes an edit from its arguments and
// sends it. All edits have the flags -message and -yes.
func (c *command) editCommand(fs *flag.FlagSet, usage, help string, propose func(ctx context.Context, args []string) (proposal, error)) *ffcli.Command {
	message := fs.String("message", "", "reason for the edit")
	yes := fs.Bool("yes", false, "don't ask before a dangerous edit")
	return &ffcli.Command{
		Name: fs.Name(), ShortUsage: "persimmonctl " + usage, ShortHelp: help,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := interleaved(fs, args)
			if err != nil {
				return err
			}
			p, err := propose(ctx, args)
			if err != nil {
				return err
			}
			if r := p.unchangedSince; r != nil {
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
	base := fs.Int64("base", noBase, "revision the file is based on; the edit is refused if it is not current (default: the current one)")
	return c.editCommand(fs, "catalogue apply FILE [-base N] -message M [-yes]", "make a file the next revision",
		func(_ context.Context, args []string) (proposal, error) {
			_, body, err := readFile(args)
			return proposal{base: *base, body: body}, err
		})
}

func (c *command) rollback() *ffcli.Command {
	fs := flag.NewFlagSet("rollback", flag.ContinueOnError)
	return c.editCommand(fs, "catalogue rollback N [-message M] [-yes]", "make an older body the next revision",
		func(ctx context.Context, args []string) (proposal, error) {
			if len(args) != 1 {
				return proposal{}, usagef("rollback: one revision is needed")
			}
			number, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil || number < 1 {
				return proposal{}, usagef("rollback: %q is not allowed; a revision number from 1", args[0])
			}
			_, body, err := c.stored(ctx, number)
			return proposal{base: noBase, body: body, message: fmt.Sprintf("rollback to revision %d", number)}, err
		})
}

func (c *command) drainCommand(name string, drain bool) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	help := map[bool]string{true: "send a backend server no new work", false: "send a drained backend server work again"}[drain]
	return c.editCommand(fs, name+" NAME [-message M] [-yes]", help,
		func(ctx context.Context, args []string) (proposal, error) {
			if len(args) != 1 {
				return proposal{}, usagef("%s: the name of one backend server is needed", name)
			}
			r, body, err := c.stored(ctx, 0)
			if err != nil {
				return proposal{}, err
			}
			edited, changed, err := catalogue.SetDraining(body, args[0], drain)
			if err != nil || !changed {
				return proposal{unchangedSince: &r}, err
			}
			p := proposal{base: r.Number, body: edited, message: name + " " + args[0]}
			if drain && c.gateways != "" {
				p.reasons, err = c.checkKnown(ctx, args[0])
			}
			return p, err
		})
}

// stored returns a revision with its body; number 0 means the current one.
func (c *command) stored(ctx context.Context, number int64) (revision.Revision, []byte, error) {
	e, err := c.editor()
	if err != nil {
		return revision.Revision{}, nil, err
	}
	r, body, err := e.Get(ctx, number)
	if err != nil {
		return r, nil, explained(err, r, number)
	}
	return r, body, nil
}

// submit shows the changes, asks if they are dangerous and applies the body.
func (c *command) submit(ctx context.Context, p proposal, yes bool) error {
	if strings.TrimSpace(c.author) == "" {
		return usagef("-author is needed, because USER is not set")
	}
	e, err := c.editor()
	if err != nil {
		return err
	}
	head, before, err := current(ctx, e, 0)
	var invalid *catalogue.InvalidError
	if err != nil && !errors.As(err, &invalid) {
		return err
	}
	if p.base == noBase {
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
	accepted, err := c.applyResolved(e, p)
	if err != nil {
		return err
	}
	if accepted.HistoryErr != nil {
		fmt.Fprintf(c.Stderr, "the history row is not written yet, the next edit does it: %v\n", accepted.HistoryErr)
	}
	return c.print(accepted.Revision, nil, [][]string{{fmt.Sprintf("accepted as revision %d", accepted.Revision.Number)}})
}

// review shows the changes and asks if they are dangerous. A current body that
// a newer build no longer accepts must stay replaceable, so it only needs a
// confirmation.
func (c *command) review(before, after *catalogue.Catalogue, invalid *catalogue.InvalidError, reasons []string, yes bool) error {
	changes := catalogue.Diff(before, after)
	for _, ch := range changes {
		fmt.Fprintln(c.Stderr, ch)
	}
	reasons = append(reasons, dangers(changes, after)...)
	if invalid != nil {
		reasons = append(reasons, "the current body isn't valid, so the changes against it are not known: "+invalid.Error())
	}
	return c.confirm(yes, reasons)
}

// applyResolved applies an edit and, if its answer was lost, waits for the
// platform until the outcome is known.
func (c *command) applyResolved(e *revision.Editor, p proposal) (revision.Accepted, error) {
	ctx, cancel := context.WithTimeout(c.parent, c.timeout)
	defer cancel()
	accepted, err := e.Apply(ctx, p.base, p.body, c.author, p.message)
	var unresolved *revision.UnresolvedError
	if !errors.As(err, &unresolved) {
		return accepted, merged(err)
	}
	fmt.Fprintf(c.Stderr, "%v\nwaiting up to %v for the platform to find out\n", err, c.resolve)
	ctx, cancel = context.WithTimeout(c.parent, c.resolve)
	defer cancel()
	accepted, err = e.Resume(ctx, unresolved)
	return accepted, merged(err)
}

// merged adds to a conflict how to get the edit accepted.
func merged(err error) error {
	var conflict *revision.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	return fmt.Errorf("%w\nread the current one with \"persimmonctl catalogue get\", make the edit in it and apply it with -base %d", err, conflict.Current.Number)
}

// errNoRevision is the error of a command that needs a catalogue.
var errNoRevision = errors.New("the catalogue has no revision yet; make the first one with \"persimmonctl catalogue apply FILE -message M\"")

// explained replaces the error of reading a revision that does not exist. A
// revision whose body is missing has a number and keeps its error.
func explained(err error, r revision.Revision, number int64) error {
	switch {
	case !errors.Is(err, platform.ErrNotFound) || r.Number != 0:
		return err
	case number == 0:
		return errNoRevision
	default:
		return fmt.Errorf("revision %d doesn't exist; \"persimmonctl catalogue history\" lists those that do", number)
	}
}

// dangers lists why an edit needs a confirmation. The catalogue doesn't list
// the backend servers; the replicas it asks for stand in for their number.
func dangers(changes []catalogue.Change, after *catalogue.Catalogue) []string {
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
		reasons = append(reasons, fmt.Sprintf("%d backend servers drain, more than half of the %d replicas that the models ask for in a data centre", n, replicas))
	}
	return reasons
}

// current returns a revision with its catalogue; none before the first edit.
func current(ctx context.Context, e *revision.Editor, number int64) (revision.Revision, *catalogue.Catalogue, error) {
	r, body, err := e.Get(ctx, number)
	if errors.Is(err, platform.ErrNotFound) && number == 0 && r.Number == 0 {
		return revision.Revision{}, nil, nil
	}
	if err != nil {
		return revision.Revision{}, nil, explained(err, r, number)
	}
	parsed, err := catalogue.Parse(fmt.Sprintf("revision-%d", r.Number), body)
	return r, parsed, err
}
