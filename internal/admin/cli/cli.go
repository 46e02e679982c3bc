package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/edge/auth"
	"github.com/clementinewind/clementinewind/internal/edge/keys"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it says.
	ExitOK = 0
	// ExitFailed means that the command failed and changed nothing, or could not confirm a change that was accepted.
	ExitFailed = 1
	// ExitUsage means that the command line or a checked file is wrong.
	ExitUsage = 2
	// ExitNotRun means that the request or the edit was refused and has no effect.
	ExitNotRun = 3
	// ExitUnknown means that the request may have run, or that the edit may be in force.
	ExitUnknown = 4
)

const exitCodes = `Exit codes:
0  ok
1  failed; nothing was changed, or a change that was accepted could not be confirmed everywhere
2  wrong usage, or a checked file is not valid
3  refused; the request has not run, the edit is not in force
4  the request may have run, the edit may be in force`

// Config configures a CLI. The zero value is the program as it runs on a terminal, without extra commands.
type Config struct {
	Version string
	// Stdin, Stdout and Stderr are those of the process if nil.
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Dial connects to routers; nil takes a net.Dialer.
	Dial keys.DialFunc
	// Now reads the wall clock; nil takes time.Now.
	Now func() time.Time
	// NewToken makes the token of 'token new'; nil takes auth.NewToken.
	NewToken func() auth.Token
	// CheckSettings checks the text of a settings tree for 'check --settings'; nil leaves the flag out.
	CheckSettings func(file string, text []byte) error
	// Extra are further commands of the program. An error of their actions that is not an *Error exits with ExitFailed.
	Extra []*urfave.Command
}

// CLI runs commands.
type CLI struct {
	config Config
}

// New returns a CLI.
func New(config Config) *CLI {
	if config.Stdin == nil {
		config.Stdin = os.Stdin
	}
	if config.Stdout == nil {
		config.Stdout = os.Stdout
	}
	if config.Stderr == nil {
		config.Stderr = os.Stderr
	}
	if config.Dial == nil {
		config.Dial = new(net.Dialer).DialContext
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.NewToken == nil {
		config.NewToken = auth.NewToken
	}
	return &CLI{config: config}
}

// Run runs the command that the arguments name, prints its error and returns the exit code of the program. The first
// argument is the name of the program.
func (cli *CLI) Run(ctx context.Context, args []string) int {
	err := cli.root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(cli.config.Stderr, "clementinewind:", err)
	var typed *Error
	if !errors.As(err, &typed) {
		typed = &Error{Code: ExitUsage, Advice: "see 'clementinewind --help'"}
	}
	if typed.Advice != "" {
		fmt.Fprintln(cli.config.Stderr, typed.Advice)
	}
	return typed.Code
}

func (cli *CLI) root() *urfave.Command {
	root := &urfave.Command{
		Name:            "clementinewind",
		Usage:           "run and operate a router fleet",
		Version:         cli.config.Version,
		HideVersion:     cli.config.Version == "",
		Description:     exitCodes,
		HideHelpCommand: true,
		Reader:          cli.config.Stdin,
		Writer:          cli.config.Stdout,
		ErrWriter:       cli.config.Stderr,
		ExitErrHandler:  func(context.Context, *urfave.Command, error) {},
		Flags:           connectionFlags(),
		Commands: slices.Concat([]*urfave.Command{
			cli.settingsCommand(), cli.zoneCommand(), cli.upstreamCommand(), cli.statusCommand(), cli.timelineCommand(),
			cli.checkCommand(), cli.tokenCommand(),
			cli.locateCommand(), cli.generateCommand(), cli.resumeCommand(), cli.callCommand(),
		}, cli.config.Extra),
	}
	complete(root)
	return root
}

// complete gives every command its handling of errors: wrong usage is an *Error with ExitUsage, and any other error that
// is not an *Error becomes one with ExitFailed.
func complete(command *urfave.Command) {
	command.OnUsageError = func(_ context.Context, command *urfave.Command, err error, _ bool) error {
		return usageError(command, err.Error())
	}
	if action := command.Action; action != nil {
		command.Action = func(ctx context.Context, command *urfave.Command) error {
			err := action(ctx, command)
			var typed *Error
			if err == nil || errors.As(err, &typed) {
				return err
			}
			return &Error{Code: ExitFailed, Err: err}
		}
	} else {
		command.Action = func(_ context.Context, command *urfave.Command) error {
			if command.Args().Present() {
				return usageError(command, fmt.Sprintf("unknown command %q", command.Args().First()))
			}
			var names []string
			for _, child := range command.VisibleCommands() {
				names = append(names, child.Name)
			}
			return usageError(command, "name a command: "+strings.Join(names, ", "))
		}
	}
	for _, child := range command.Commands {
		complete(child)
	}
}

// arguments returns the positional arguments of a command, whose number must be from low to high; high 0 sets no limit.
func arguments(command *urfave.Command, low, high int) ([]string, error) {
	args := command.Args().Slice()
	switch {
	case len(args) < low:
		return nil, usageError(command, "an argument is missing: want "+command.ArgsUsage)
	case high > 0 && len(args) > high, high == 0 && low == 0 && len(args) > 0:
		return nil, usageError(command, fmt.Sprintf("unexpected argument %q", args[high]))
	}
	return args, nil
}
