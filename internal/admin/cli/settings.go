package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// editFlags returns the flags that all commands that edit settings share, and extra ones.
func editFlags(extra ...urfave.Flag) []urfave.Flag {
	return append([]urfave.Flag{
		&urfave.StringFlag{
			Name: "who", Usage: "`NAME` of the operator; not needed with a token, which names its operator",
			Sources: urfave.EnvVars("CLEMENTINEWIND_OPERATOR"),
		},
		&urfave.StringFlag{Name: "why", Usage: "`REASON`, which the history keeps"},
		&urfave.DurationFlag{
			Name: "wait", Usage: "wait up to `TIME` until the edit is in force on every live router, for example 14s",
		},
	}, extra...)
}

func (cli *CLI) settingsCommand() *urfave.Command {
	against := &urfave.Int64Flag{
		Name: "against", Usage: "`VERSION` that was read before the edit; the edit is refused if a key changed since then",
	}
	return &urfave.Command{
		Name: "settings", Usage: "read and change the settings tree", Category: "Operators",
		Commands: []*urfave.Command{
			{
				Name: "get", Usage: "print the settings, or one section with its children", ArgsUsage: "[SECTION]",
				Flags:  []urfave.Flag{&urfave.BoolFlag{Name: "effective", Usage: "include inherited values"}},
				Action: cli.getSettings,
			},
			{
				Name: "set", Usage: "set keys of one section in one edit", ArgsUsage: "SECTION KEY=VALUE...",
				Description: "Example: clementinewind settings set Organisations.Patel Weight=2 --why 'new contract' --wait 14s",
				Flags:       editFlags(against),
				Action: func(ctx context.Context, command *urfave.Command) error {
					return cli.editSettings(ctx, command, func(section, text string) (*operatorv1.Change, error) {
						key, value, found := strings.Cut(text, "=")
						if !found || key == "" {
							return nil, usageError(command, fmt.Sprintf("%q: want KEY=VALUE", text))
						}
						return &operatorv1.Change{Section: section, Key: key, Value: value}, nil
					})
				},
			},
			{
				Name: "unset", Usage: "remove keys of one section in one edit", ArgsUsage: "SECTION KEY...",
				Flags: editFlags(against),
				Action: func(ctx context.Context, command *urfave.Command) error {
					return cli.editSettings(ctx, command, func(section, key string) (*operatorv1.Change, error) {
						return &operatorv1.Change{Section: section, Key: key, Unset: true}, nil
					})
				},
			},
			{
				Name: "history", Usage: "list edits, the newest last", ArgsUsage: "[SECTION]",
				Flags: []urfave.Flag{
					&urfave.Int32Flag{Name: "limit", Usage: "largest number of edits", Value: 20},
					outputFlag(outputTable, outputJSON),
				},
				Action: cli.history,
			},
		},
	}
}

func (cli *CLI) getSettings(ctx context.Context, command *urfave.Command) error {
	args, err := arguments(command, 0, 1)
	if err != nil {
		return err
	}
	client, err := cli.newClient(command)
	if err != nil {
		return err
	}
	response, err := unary(ctx, client, effectNone, 0, client.operator.GetSettings, &operatorv1.GetSettingsRequest{
		Section: strings.Join(args, ""), Effective: command.Bool("effective"),
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cli.config.Stdout, "; Version %d\n%s\n", response.GetVersion(), strings.TrimRight(response.GetText(), "\n"))
	return err
}

func (cli *CLI) editSettings(
	ctx context.Context, command *urfave.Command, change func(section, text string) (*operatorv1.Change, error),
) error {
	args, err := arguments(command, 2, 0)
	if err != nil {
		return err
	}
	request := &operatorv1.SetSettingsRequest{
		Against: command.Int64("against"), Who: command.String("who"), Why: command.String("why"),
		Wait: command.Duration("wait") > 0, WaitMillis: command.Duration("wait").Milliseconds(),
	}
	for _, text := range args[1:] {
		changed, err := change(args[0], text)
		if err != nil {
			return err
		}
		request.Changes = append(request.Changes, changed)
	}
	client, err := cli.newClient(command)
	if err != nil {
		return err
	}
	response, err := unary(ctx, client, effectEdit, command.Duration("wait"), client.operator.SetSettings, request)
	if err != nil {
		return err
	}
	return cli.reportEdit("the edit", command.Duration("wait"), command.Duration("wait") > 0, response)
}

// editResponse has the fields that the responses to all edits share.
type editResponse interface {
	GetAccepted() bool
	GetVersion() int64
	GetConflict() string
	GetMissing() []string
}

// reportEdit prints the result of an edit or returns it as an error. Missing instances are an error only if the router was
// asked to confirm that the edit is in force.
func (cli *CLI) reportEdit(subject string, wait time.Duration, confirm bool, response editResponse) error {
	if !response.GetAccepted() {
		return &Error{
			Code: ExitNotRun, Err: errors.Errorf("%s was not accepted: %s", subject, response.GetConflict()),
			Hint: "read the settings again with 'clementinewind settings get' and repeat the edit if it is still wanted",
		}
	}
	accepted := fmt.Sprintf("%s was accepted as version %d", subject, response.GetVersion())
	if response.GetVersion() == 0 {
		accepted = subject + " was accepted and will be written to the log when the log is available"
	}
	if confirm && len(response.GetMissing()) > 0 {
		waited := ""
		if wait > 0 {
			waited = fmt.Sprintf(" after %v", wait)
		}
		return &Error{
			Code: ExitFailed, Err: errors.Errorf("%s, but%s it is not known to be in force on %s",
				accepted, waited, strings.Join(response.GetMissing(), ", ")),
			Hint: "check these instances with 'clementinewind status'",
		}
	}
	if confirm {
		accepted += ", and is in force on every live router"
	}
	_, err := fmt.Fprintln(cli.config.Stdout, accepted)
	return err
}

func (cli *CLI) history(ctx context.Context, command *urfave.Command) error {
	args, err := arguments(command, 0, 1)
	if err != nil {
		return err
	}
	client, err := cli.newClient(command)
	if err != nil {
		return err
	}
	response, err := unary(ctx, client, effectNone, 0, client.operator.History, &operatorv1.HistoryRequest{
		Section: strings.Join(args, ""), Limit: command.Int32("limit"),
	})
	if err != nil {
		return err
	}
	if command.String("output") == outputJSON {
		return writeJSON(cli.config.Stdout, response)
	}
	table := newTable(cli.config.Stdout, "VERSION", "TIME", "WHO", "RESULT", "CHANGES", "WHY")
	for _, entry := range response.GetEntries() {
		result := "accepted"
		if !entry.GetAccepted() {
			result = "rejected: " + entry.GetConflict()
		}
		var changes []string
		for _, change := range entry.GetChanges() {
			name := change.GetSection() + " " + change.GetKey()
			if change.GetUnset() {
				changes = append(changes, "unset "+name)
			} else {
				changes = append(changes, name+"="+change.GetValue())
			}
		}
		table.row(entry.GetVersion(), formatTime(entry.GetTimeMillis()), entry.GetWho(), result, strings.Join(changes, "; "), entry.GetWhy())
	}
	return table.flush()
}
