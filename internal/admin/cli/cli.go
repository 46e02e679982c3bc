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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed without an effect, that an accepted change could not be confirmed, or that the
	// service of a call answered with an error status.
	ExitFailed = 1
	// ExitUsage means that the command line or a checked file is invalid.
	ExitUsage = 2
	// ExitNotRun means that the request or the edit was refused and had no effect.
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

// Config configures a CLI. The zero value uses the streams, network and clock of the process and has no extra commands.
type Config struct {
	Version string
	// Stdin, Stdout and Stderr default to those of the process.
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Dial connects to routers; nil uses a net.Dialer.
	Dial keys.DialFunc
	// Now reads the wall clock; nil uses time.Now.
	Now func() time.Time
	// NewToken generates the token of 'token new'; nil uses auth.NewToken.
	NewToken func() auth.Token
	// CheckSettings validates the text of a settings tree for 'check --settings'; nil omits the flag.
	CheckSettings func(file string, text []byte) error
	// Extra has additional commands. An error of their actions that is not an *Error exits with ExitFailed.
	Extra []*urfave.Command
}

// CLI is the command-line interface of the clementinewind program.
type CLI struct {
	config Config
}

// New returns a CLI, with defaults for the fields of the configuration that are nil.
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

// Run runs a command line, whose first argument is the program name. It prints the error and its hint to Stderr and returns
// the exit code.
func (cli *CLI) Run(ctx context.Context, args []string) int {
	err := cli.root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(cli.config.Stderr, "clementinewind:", err)
	var cliErr *Error
	if !errors.As(err, &cliErr) {
		cliErr = &Error{Code: ExitUsage, Hint: "see 'clementinewind --help'"}
	}
	if cliErr.Hint != "" {
		fmt.Fprintln(cli.config.Stderr, cliErr.Hint)
	}
	return cliErr.Code
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
	addErrorHandling(root)
	return root
}

// addErrorHandling makes a command and its subcommands return an *Error: with ExitUsage for invalid usage, and with
// ExitFailed for any other error that is not an *Error.
func addErrorHandling(command *urfave.Command) {
	command.OnUsageError = func(_ context.Context, command *urfave.Command, err error, _ bool) error {
		return usageError(command, err.Error())
	}
	if action := command.Action; action != nil {
		command.Action = func(ctx context.Context, command *urfave.Command) error {
			err := action(ctx, command)
			var cliErr *Error
			if err == nil || errors.As(err, &cliErr) {
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
		addErrorHandling(child)
	}
}

// arguments returns the positional arguments of a command and checks that there are low to high of them. If high is 0, there
// is no upper limit, except that low 0 and high 0 allow none.
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
