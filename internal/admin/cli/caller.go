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

// idleTimeout ends an answer stream on which nothing arrives: three heartbeat frames of 5 s are missing.
const idleTimeout = 15 * time.Second

var errSilent = errors.New("the connection went silent")

func callerFlags(more ...urfave.Flag) []urfave.Flag {
	return append([]urfave.Flag{&urfave.StringFlag{
		Name: "organisation", Usage: "`NAME` of the organisation; not needed with its token", Sources: urfave.EnvVars("CLEMENTINEWIND_ORGANISATION"),
	}}, more...)
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
			session, err := cli.session(command)
			if err != nil {
				return err
			}
			response, err := session.locate(ctx, command, effectNone)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cli.config.Stdout, "%s\nvalid for %s\n", strings.Join(response.GetAddresses(), "\n"),
				formatMillis(response.GetTimeToLiveMillis()))
			return err
		},
	}
}

// locate asks a router for addresses. A failure cannot have run the request that follows.
func (session *session) locate(ctx context.Context, command *urfave.Command, effect effect) (*callerv1.LocateResponse, error) {
	response, err := unary(ctx, session, effectNone, 0, session.caller.Locate, &callerv1.LocateRequest{
		Organisation: command.String("organisation"), Pool: command.String("pool"),
	})
	var typed *Error
	if errors.As(err, &typed) && effect != effectNone {
		typed.Code = ExitNotRun
	}
	if err == nil && len(response.GetAddresses()) == 0 {
		return nil, &Error{Code: ExitNotRun, Err: errors.New("no router serves this pool now"), Advice: "retry later"}
	}
	return response, err
}

// located returns a session with the addresses that a router named for the request.
func (cli *CLI) located(ctx context.Context, command *urfave.Command) (*session, error) {
	session, err := cli.session(command)
	if err != nil {
		return nil, err
	}
	response, err := session.locate(ctx, command, effectRun)
	if err != nil {
		return nil, err
	}
	session.use(response.GetAddresses())
	return session, nil
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
			prompt, err := cli.text(args[0])
			if err != nil {
				return err
			}
			session, err := cli.located(ctx, command)
			if err != nil {
				return err
			}
			request := connect.NewRequest(&callerv1.GenerateRequest{
				Organisation: command.String("organisation"), Pool: command.String("pool"), Prompt: prompt,
				MaxTokens: command.Int32("max-tokens"), DeadlineMillis: command.Duration("deadline").Milliseconds(),
			})
			return session.answer(ctx, &answer{}, command.Duration("deadline"), func(ctx context.Context) (*connect.ServerStreamForClient[callerv1.AnswerFrame], error) {
				return session.caller.Generate(ctx, request)
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
			session, err := cli.session(command)
			if err != nil {
				return err
			}
			answer := &answer{resumeToken: args[0], position: command.Int64("position")}
			request := connect.NewRequest(&callerv1.ResumeRequest{
				Organisation: command.String("organisation"), ResumeToken: answer.resumeToken, Position: answer.position,
			})
			return session.answer(ctx, answer, 0, func(ctx context.Context) (*connect.ServerStreamForClient[callerv1.AnswerFrame], error) {
				return session.caller.Resume(ctx, request)
			})
		},
	}
}

// answer is how much of an answer has been received.
type answer struct {
	resumeToken string
	position    int64
	complete    bool
}

// take returns the text of a frame that follows what was received. Tokens that were already received are left out.
func (answer *answer) take(frame *callerv1.AnswerFrame) (string, error) {
	if frame.GetResumeToken() != "" {
		answer.resumeToken = frame.GetResumeToken()
	}
	if frame.GetHeartbeat() {
		return "", nil
	}
	if frame.GetPosition() > answer.position {
		return "", errors.Errorf("tokens are missing: %d from position %d on", frame.GetPosition()-answer.position, answer.position)
	}
	answer.complete = frame.GetEnd()
	repeated := answer.position - frame.GetPosition()
	if repeated >= int64(len(frame.GetTokens())) {
		return "", nil
	}
	tokens := frame.GetTokens()[repeated:]
	answer.position += int64(len(tokens))
	return strings.Join(tokens, ""), nil
}

// answer prints an answer as it arrives. It succeeds only if the answer is complete.
func (session *session) answer(
	ctx context.Context, answer *answer, deadline time.Duration,
	open func(context.Context) (*connect.ServerStreamForClient[callerv1.AnswerFrame], error),
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(session.timeout+deadline, func() { cancel(errSilent) })
	defer idle.Stop()
	stream, err := open(ctx)
	if err != nil {
		return answer.failure(ctx, err)
	}
	defer stream.Close()
	start := answer.position
	defer func() {
		if answer.position > start {
			fmt.Fprintln(session.cli.config.Stdout)
		}
	}()
	for !answer.complete && stream.Receive() {
		idle.Reset(idleTimeout)
		text, err := answer.take(stream.Msg())
		if err != nil {
			return answer.failure(ctx, err)
		}
		if _, err := io.WriteString(session.cli.config.Stdout, text); err != nil {
			return errors.Wrap(err, "write answer")
		}
	}
	if answer.complete {
		return nil
	}
	if err := stream.Err(); err != nil {
		return answer.failure(ctx, err)
	}
	return answer.failure(ctx, errors.New("the answer ended early"))
}

// failure returns the error of an answer that is not complete.
func (answer *answer) failure(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		err = errSilent
	}
	failed := failure(err, effectRun)
	var typed *Error
	if errors.As(failed, &typed) && answer.resumeToken != "" && typed.Code == ExitUnknown {
		typed.Advice = joinAdvice(typed.Advice, fmt.Sprintf("get the rest with: clementinewind resume --position %d %s",
			answer.position, answer.resumeToken))
	}
	return failed
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
		body, err := cli.text(args[1])
		if err != nil {
			return err
		}
		request.Body = []byte(body)
	}
	session, err := cli.located(ctx, command)
	if err != nil {
		return err
	}
	response, err := unary(ctx, session, effectRun, command.Duration("deadline"), session.caller.Call, request)
	if err != nil {
		var typed *Error
		if errors.As(err, &typed) && typed.Code == ExitUnknown && request.GetIdempotencyKey() != "" {
			typed.Advice = joinAdvice(typed.Advice, fmt.Sprintf("the call may have run; ask for its answer by the same command with: --key %s --key-issued %d",
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

// text returns an argument, or the standard input if the argument is -.
func (cli *CLI) text(argument string) (string, error) {
	if argument != "-" {
		return argument, nil
	}
	text, err := io.ReadAll(cli.config.Stdin)
	return string(text), errors.Wrap(err, "read standard input")
}
