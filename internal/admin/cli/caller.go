package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// idleTimeout ends an answer stream that receives nothing after its first frame. A router sends a heartbeat every 5 s, so that
// three are missing.
const idleTimeout = 15 * time.Second

var errIdleTimeout = errors.New("the connection went silent")

func callerFlags(extra ...urfave.Flag) []urfave.Flag {
	return append([]urfave.Flag{&urfave.StringFlag{
		Name: "organisation", Usage: "`NAME` of the organisation; not needed with its token", Sources: urfave.EnvVars("CLEMENTINEWIND_ORGANISATION"),
	}}, extra...)
}

func poolFlag() urfave.Flag {
	return &urfave.StringFlag{Name: "pool", Usage: "`POOL` of upstreams that serves the request", Required: true}
}

func deadlineFlag() urfave.Flag {
	return &urfave.DurationFlag{Name: "deadline", Usage: "longest time until the answer starts; 0 takes the default of the settings"}
}

func (cli *CLI) locateCommand() *urfave.Command {
	return &urfave.Command{
		Name: "locate", Usage: "print the router addresses to use, best first", Category: "Callers",
		Flags: callerFlags(poolFlag()),
		Action: func(ctx context.Context, command *urfave.Command) error {
			if _, err := arguments(command, 0, 0); err != nil {
				return err
			}
			client, err := cli.newClient(command)
			if err != nil {
				return err
			}
			response, err := client.locate(ctx, command, effectNone)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cli.config.Stdout, "%s\nvalid for %s\n", strings.Join(response.GetAddresses(), "\n"),
				formatMillis(response.GetTimeToLiveMillis()))
			return err
		},
	}
}

// locate asks a router for the addresses to use for a request with the given effect. If it fails, that request was not sent.
func (client *client) locate(ctx context.Context, command *urfave.Command, effect effect) (*callerv1.LocateResponse, error) {
	response, err := unary(ctx, client, effectNone, 0, client.caller.Locate, &callerv1.LocateRequest{
		Organisation: command.String("organisation"), Pool: command.String("pool"),
	})
	var cliErr *Error
	if errors.As(err, &cliErr) && effect != effectNone {
		cliErr.Code = ExitNotRun
	}
	if err == nil && len(response.GetAddresses()) == 0 {
		return nil, &Error{Code: ExitNotRun, Err: errors.New("no router serves this pool now"), Hint: "retry later"}
	}
	return response, err
}

// newLocatedClient returns a client for the addresses that a router returned for the request.
func (cli *CLI) newLocatedClient(ctx context.Context, command *urfave.Command) (*client, error) {
	client, err := cli.newClient(command)
	if err != nil {
		return nil, err
	}
	response, err := client.locate(ctx, command, effectRun)
	if err != nil {
		return nil, err
	}
	client.connect(response.GetAddresses())
	return client, nil
}

func (cli *CLI) generateCommand() *urfave.Command {
	return &urfave.Command{
		Name: "generate", Usage: "send a prompt and print the answer", ArgsUsage: "PROMPT", Category: "Callers",
		Description: "A PROMPT of - is read from the standard input. An answer that is cut off is completed with 'resume'.",
		Flags: callerFlags(poolFlag(), deadlineFlag(),
			&urfave.Int32Flag{Name: "max-tokens", Usage: "largest number of tokens; 0 takes the default of the pool"}),
		Action: func(ctx context.Context, command *urfave.Command) error {
			args, err := arguments(command, 1, 1)
			if err != nil {
				return err
			}
			prompt, err := cli.readArgument(args[0])
			if err != nil {
				return err
			}
			client, err := cli.newLocatedClient(ctx, command)
			if err != nil {
				return err
			}
			request := connect.NewRequest(&callerv1.GenerateRequest{
				Organisation: command.String("organisation"), Pool: command.String("pool"), Prompt: prompt,
				MaxTokens: command.Int32("max-tokens"), DeadlineMillis: command.Duration("deadline").Milliseconds(),
			})
			return client.printAnswer(ctx, &answerState{}, command.Duration("deadline"), func(ctx context.Context) (*connect.ServerStreamForClient[callerv1.AnswerFrame], error) {
				return client.caller.Generate(ctx, request)
			})
		},
	}
}

func (cli *CLI) resumeCommand() *urfave.Command {
	return &urfave.Command{
		Name: "resume", Usage: "print the rest of an answer that was cut off", ArgsUsage: "RESUME-TOKEN", Category: "Callers",
		Flags: callerFlags(&urfave.Int64Flag{Name: "position", Usage: "`NUMBER` of tokens that were already received"}),
		Action: func(ctx context.Context, command *urfave.Command) error {
			args, err := arguments(command, 1, 1)
			if err != nil {
				return err
			}
			client, err := cli.newClient(command)
			if err != nil {
				return err
			}
			answerState := &answerState{resumeToken: args[0], position: command.Int64("position")}
			request := connect.NewRequest(&callerv1.ResumeRequest{
				Organisation: command.String("organisation"), ResumeToken: answerState.resumeToken, Position: answerState.position,
			})
			return client.printAnswer(ctx, answerState, 0, func(ctx context.Context) (*connect.ServerStreamForClient[callerv1.AnswerFrame], error) {
				return client.caller.Resume(ctx, request)
			})
		},
	}
}

// answerState tracks how much of an answer was received.
type answerState struct {
	resumeToken string
	position    int64
	complete    bool
}

// accept updates the state with a frame and returns the frame's new text, without tokens that were received before.
func (answerState *answerState) accept(frame *callerv1.AnswerFrame) (string, error) {
	if frame.GetResumeToken() != "" {
		answerState.resumeToken = frame.GetResumeToken()
	}
	if frame.GetHeartbeat() {
		return "", nil
	}
	if frame.GetPosition() > answerState.position {
		return "", errors.Errorf("tokens are missing: %d from position %d on", frame.GetPosition()-answerState.position, answerState.position)
	}
	answerState.complete = frame.GetEnd()
	duplicates := answerState.position - frame.GetPosition()
	if duplicates >= int64(len(frame.GetTokens())) {
		return "", nil
	}
	tokens := frame.GetTokens()[duplicates:]
	answerState.position += int64(len(tokens))
	return strings.Join(tokens, ""), nil
}

// printAnswer prints an answer as it arrives. It returns an error unless the answer is complete.
func (client *client) printAnswer(
	ctx context.Context, answerState *answerState, deadline time.Duration,
	open func(context.Context) (*connect.ServerStreamForClient[callerv1.AnswerFrame], error),
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(client.timeout+deadline, func() { cancel(errIdleTimeout) })
	defer idleTimer.Stop()
	stream, err := open(ctx)
	if err != nil {
		return answerState.wrapError(ctx, err)
	}
	defer stream.Close()
	start := answerState.position
	defer func() {
		if answerState.position > start {
			fmt.Fprintln(client.cli.config.Stdout)
		}
	}()
	for !answerState.complete && stream.Receive() {
		idleTimer.Reset(idleTimeout)
		text, err := answerState.accept(stream.Msg())
		if err != nil {
			return answerState.wrapError(ctx, err)
		}
		if _, err := io.WriteString(client.cli.config.Stdout, text); err != nil {
			return errors.Wrap(err, "write answer")
		}
	}
	if answerState.complete {
		return nil
	}
	if err := stream.Err(); err != nil {
		return answerState.wrapError(ctx, err)
	}
	return answerState.wrapError(ctx, errors.New("the answer ended early"))
}

// wrapError returns the error of an incomplete answer, with a hint how to resume it if that is possible.
func (answerState *answerState) wrapError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errIdleTimeout) {
		err = errIdleTimeout
	}
	wrapped := requestError(err, effectRun)
	var cliErr *Error
	if errors.As(wrapped, &cliErr) && answerState.resumeToken != "" && cliErr.Code == ExitUnknown {
		cliErr.Hint = joinHints(cliErr.Hint, fmt.Sprintf("get the rest with: clementinewind resume --position %d %s",
			answerState.position, answerState.resumeToken))
	}
	return wrapped
}

func (cli *CLI) callCommand() *urfave.Command {
	return &urfave.Command{
		Name: "call", Usage: "send one call to a plain service and print its answer", ArgsUsage: "PATH [BODY]", Category: "Callers",
		Description: "A BODY of - is read from the standard input. A call that is not --repeatable runs at most once: it has a key, and a\n" +
			"call with the same --key and --key-issued gets the answer of the first one.",
		Flags: callerFlags(poolFlag(), deadlineFlag(),
			&urfave.BoolFlag{Name: "repeatable", Usage: "the call may safely run more than once"},
			&urfave.StringFlag{Name: "key", Usage: "idempotency `KEY` of an earlier call; a new one is made if it is left out"},
			&urfave.Int64Flag{Name: "key-issued", Usage: "time of the earlier call's key in `MILLISECONDS` since 1970, as it was printed"}),
		Action: cli.call,
	}
}

func (cli *CLI) call(ctx context.Context, command *urfave.Command) error {
	args, err := arguments(command, 1, 2)
	if err != nil {
		return err
	}
	request := &callerv1.CallRequest{
		Organisation: command.String("organisation"), Pool: command.String("pool"), Path: args[0],
		DeadlineMillis: command.Duration("deadline").Milliseconds(), Repeatable: command.Bool("repeatable"),
		IdempotencyKey: command.String("key"), KeyIssuedMillis: command.Int64("key-issued"),
	}
	switch {
	case (request.GetIdempotencyKey() == "") != (request.GetKeyIssuedMillis() == 0):
		return usageError(command, "give --key and --key-issued together, as the earlier call printed them")
	case request.GetRepeatable() && request.GetIdempotencyKey() != "":
		return usageError(command, "a --repeatable call has no --key")
	case !request.GetRepeatable() && request.GetIdempotencyKey() == "":
		request.IdempotencyKey = clementinewind.NewRequestID().String()
		request.KeyIssuedMillis = cli.config.Now().UnixMilli()
	}
	if len(args) == 2 {
		body, err := cli.readArgument(args[1])
		if err != nil {
			return err
		}
		request.Body = []byte(body)
	}
	client, err := cli.newLocatedClient(ctx, command)
	if err != nil {
		return err
	}
	response, err := unary(ctx, client, effectRun, command.Duration("deadline"), client.caller.Call, request)
	if err != nil {
		var cliErr *Error
		if errors.As(err, &cliErr) && cliErr.Code == ExitUnknown && request.GetIdempotencyKey() != "" {
			cliErr.Hint = joinHints(cliErr.Hint, fmt.Sprintf("the call may have run; ask for its answer by the same command with: --key %s --key-issued %d",
				request.GetIdempotencyKey(), request.GetKeyIssuedMillis()))
		}
		return err
	}
	if response.GetReplayed() {
		fmt.Fprintln(cli.config.Stderr, "this is the answer of the earlier call with the same key")
	}
	if _, err := cli.config.Stdout.Write(response.GetBody()); err != nil {
		return errors.Wrap(err, "write answer")
	}
	fmt.Fprintln(cli.config.Stdout)
	if response.GetStatus() >= 400 {
		return &Error{Code: ExitFailed, Err: errors.Errorf("the service answered with status %d", response.GetStatus())}
	}
	return nil
}

// readArgument returns an argument, or the standard input if the argument is -.
func (cli *CLI) readArgument(argument string) (string, error) {
	if argument != "-" {
		return argument, nil
	}
	text, err := io.ReadAll(cli.config.Stdin)
	return string(text), errors.Wrap(err, "read standard input")
}
