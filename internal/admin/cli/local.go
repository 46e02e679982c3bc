package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/admin/conf"
)

func (cli *CLI) checkCommand() *urfave.Command {
	command := &urfave.Command{
		Name: "check", Usage: "check a file with the process settings of a router", ArgsUsage: "FILE", Category: "Operators",
		Description: "Prints every fault and exits with 2 if there is one.",
		Flags: []urfave.Flag{&urfave.BoolFlag{
			Name: "entry", Usage: "the file holds the settings of a router behind the platform's HTTP entry",
		}},
		Action: cli.check,
	}
	if cli.config.CheckSettings != nil {
		command.Flags = append(command.Flags, &urfave.BoolFlag{Name: "settings", Usage: "the file holds a settings tree instead"})
	}
	return command
}

func (cli *CLI) check(_ context.Context, command *urfave.Command) error {
	args, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	check := func(file string) error {
		_, err := conf.Load(file)
		return err
	}
	if command.Bool("entry") {
		check = func(file string) error {
			_, err := conf.LoadEntry(file)
			return err
		}
	}
	if command.Bool("settings") {
		check = func(file string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return errors.Wrap(err, "read settings tree")
			}
			return cli.config.CheckSettings(file, text)
		}
	}
	if err := check(args[0]); err != nil {
		fmt.Fprintln(cli.config.Stderr, err)
		return &Error{Code: ExitUsage, Err: errors.Errorf("%s is not valid", args[0])}
	}
	_, err = fmt.Fprintf(cli.config.Stdout, "%s is valid\n", args[0])
	return err
}

func (cli *CLI) tokenCommand() *urfave.Command {
	return &urfave.Command{
		Name: "token", Usage: "make tokens", Category: "Operators",
		Commands: []*urfave.Command{{
			Name: "new", Usage: "make a token for an organisation or an operator",
			Description: "The token of an organisation may send its requests and read its own time line. The token of an operator may read\n" +
				"and change everything under the operator's name. The settings tree holds the hash of a token only.\n" +
				"As soon as one token is in the settings tree, every request needs one: make that of an operator first.",
			Flags: []urfave.Flag{
				&urfave.StringFlag{Name: "organisation", Usage: "`NAME` of the organisation"},
				&urfave.StringFlag{Name: "operator", Usage: "`NAME` of the operator"},
			},
			Action: cli.newToken,
		}},
	}
}

func (cli *CLI) newToken(_ context.Context, command *urfave.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	organisation, operator := command.String("organisation"), command.String("operator")
	holderSetting := "Organisation=" + organisation
	switch {
	case (organisation == "") == (operator == ""):
		return usageError(command, "give either --organisation or --operator")
	case operator != "":
		holderSetting = "Operator=" + operator
	}
	token := cli.config.NewToken()
	// The last argument is the key of the holder's setting, without =NAME.
	_, err := fmt.Fprintf(cli.config.Stdout, `%s

The token is shown only now. It is valid after this edit:
clementinewind settings set Tokens.%s Hash=%s %s
It is revoked by:
clementinewind settings unset Tokens.%s Hash %s
`, token.Reveal(), token.ID, token.Hash(), holderSetting, token.ID, holderSetting[:len(holderSetting)-len(organisation+operator)-1])
	return err
}
