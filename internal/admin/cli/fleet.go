package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/event"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

const (
	outputText = "text"
	outputHTML = "html"
)

func (cli *CLI) zoneCommand() *urfave.Command {
	return &urfave.Command{
		Name: "zone", Usage: "take an availability zone out of service or return it to service", Category: "Operators",
		Commands: []*urfave.Command{
			{
				Name: "out", Usage: "take a zone out of service", ArgsUsage: "ZONE",
				Description: "The zone gets no new work after 3 s; requests that run there end normally.\n" +
					"Example: clementinewind zone out b --why 'power works' --wait 14s",
				Flags: editFlags(&urfave.BoolFlag{
					Name: "urgent", Usage: "spread a stop marker between the routers without waiting for the platform's log",
				}),
				Action: func(ctx context.Context, command *urfave.Command) error {
					return cli.setZone(ctx, command, false, command.Bool("urgent"))
				},
			},
			{
				Name: "in", Usage: "return a zone to service; this needs the platform's log", ArgsUsage: "ZONE",
				Flags: editFlags(),
				Action: func(ctx context.Context, command *urfave.Command) error {
					return cli.setZone(ctx, command, true, false)
				},
			},
		},
	}
}

func (cli *CLI) setZone(ctx context.Context, command *urfave.Command, inService, urgent bool) error {
	args, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	client, err := cli.newClient(command)
	if err != nil {
		return err
	}
	wait := command.Duration("wait")
	response, err := unary(ctx, client, effectEdit, wait, client.operator.SetZone, &operatorv1.SetZoneRequest{
		Zone: args[0], InService: inService, Urgent: urgent, Who: command.String("who"), Why: command.String("why"),
		Wait: wait > 0, WaitMillis: wait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	subject := "taking zone " + args[0] + " out of service"
	if inService {
		subject = "returning zone " + args[0] + " to service"
	}
	return cli.reportEdit(subject, wait, wait > 0 || urgent, response)
}

func (cli *CLI) upstreamCommand() *urfave.Command {
	return &urfave.Command{
		Name: "upstream", Usage: "show upstreams", Category: "Operators",
		Commands: []*urfave.Command{{
			Name: "list", Usage: "list all upstreams with owner, state and load",
			Flags: []urfave.Flag{outputFlag(outputTable, outputJSON)},
			Action: func(ctx context.Context, command *urfave.Command) error {
				if _, err := arguments(command, 0, 0); err != nil {
					return err
				}
				client, err := cli.newClient(command)
				if err != nil {
					return err
				}
				response, err := unary(ctx, client, effectNone, 0, client.operator.ListUpstreams, &operatorv1.ListUpstreamsRequest{})
				if err != nil {
					return err
				}
				if command.String("output") == outputJSON {
					return writeJSON(cli.config.Stdout, response)
				}
				return cli.upstreamTable(response.GetUpstreams())
			},
		}},
	}
}

func (cli *CLI) upstreamTable(upstreams []*operatorv1.UpstreamStatus) error {
	table := newTable(cli.config.Stdout, "UPSTREAM", "POOL", "ZONE", "OWNER", "STATE", "RUNNING", "LIMIT")
	for _, upstream := range upstreams {
		table.row(upstream.GetUpstream(), upstream.GetPool(), upstream.GetZone(), upstream.GetOwner(), upstream.GetState(),
			upstream.GetRunning(), upstream.GetLimit())
	}
	return table.flush()
}

func (cli *CLI) statusCommand() *urfave.Command {
	return &urfave.Command{
		Name: "status", Usage: "show the fleet as one router sees it", Category: "Operators",
		Flags: []urfave.Flag{outputFlag(outputTable, outputJSON)},
		Action: func(ctx context.Context, command *urfave.Command) error {
			if _, err := arguments(command, 0, 0); err != nil {
				return err
			}
			client, err := cli.newClient(command)
			if err != nil {
				return err
			}
			response, err := unary(ctx, client, effectNone, 0, client.operator.Status, &operatorv1.StatusRequest{})
			if err != nil {
				return err
			}
			if command.String("output") == outputJSON {
				return writeJSON(cli.config.Stdout, response)
			}
			return cli.statusTables(response)
		},
	}
}

func (cli *CLI) statusTables(status *operatorv1.StatusResponse) error {
	reachable := "log reachable"
	if !status.GetLogReachable() {
		reachable = "LOG NOT REACHABLE"
	}
	fmt.Fprintf(cli.config.Stdout, "%s in zone %s: %s, version %d, fresh %s ago, %s\n\n", printable(status.GetInstance()),
		printable(status.GetZone()), printable(status.GetState()), status.GetVersion(), formatMillis(status.GetFreshMillisAgo()), reachable)
	sessions := newTable(cli.config.Stdout, "SESSION", "INSTANCE", "ZONE", "STATE", "VERSION", "HEARD")
	for _, session := range status.GetSessions() {
		sessions.row(session.GetSession(), session.GetInstance(), session.GetZone(), session.GetState(), session.GetVersion(),
			formatMillis(session.GetHeardMillisAgo())+" ago")
	}
	if err := sessions.flush(); err != nil {
		return err
	}
	fmt.Fprintln(cli.config.Stdout)
	organisations := newTable(cli.config.Stdout, "ORGANISATION", "WEIGHT", "SERVED TOKENS", "QUEUED", "RUNNING")
	for _, organisation := range status.GetOrganisations() {
		organisations.row(organisation.GetOrganisation(), organisation.GetWeight(), organisation.GetServedTokens(),
			organisation.GetQueued(), organisation.GetRunning())
	}
	if err := organisations.flush(); err != nil {
		return err
	}
	fmt.Fprintln(cli.config.Stdout)
	return cli.upstreamTable(status.GetUpstreams())
}

func (cli *CLI) timelineCommand() *urfave.Command {
	return &urfave.Command{
		Name: "timeline", Usage: "show what the fleet did and when", Category: "Operators",
		Description: "Example: clementinewind timeline --since 2h --zone ZoneB --output html > timeline.html\n" +
			"The token of an organisation shows the events of that organisation only.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "organisation", Usage: "only events of this organisation"},
			&urfave.StringFlag{Name: "zone", Usage: "only events of this availability zone"},
			&urfave.StringFlag{Name: "upstream", Usage: "only events of this upstream"},
			&urfave.StringFlag{Name: "request", Usage: "only events of the request with this `ID`"},
			&urfave.StringFlag{Name: "since", Usage: "only events from `TIME` on, as 2006-01-02T15:04:05Z or as a duration ago such as 30m"},
			&urfave.StringFlag{Name: "until", Usage: "only events before `TIME`"},
			&urfave.Int32Flag{Name: "limit", Usage: "largest number of events; the newest are shown", Value: 500},
			&urfave.BoolFlag{Name: "local", Usage: "only the events of the router at --address, without asking the others"},
			outputFlag(outputText, outputJSON, outputHTML),
		},
		Action: cli.timeline,
	}
}

func (cli *CLI) timeline(ctx context.Context, command *urfave.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	request := &operatorv1.TimelineRequest{
		Organisation: command.String("organisation"), Zone: command.String("zone"), Upstream: command.String("upstream"),
		RequestId: command.String("request"), Limit: command.Int32("limit"), Local: command.Bool("local"),
	}
	for name, target := range map[string]*int64{"since": &request.SinceMillis, "until": &request.UntilMillis} {
		if text := command.String(name); text != "" {
			at, err := cli.parseTime(text)
			if err != nil {
				return usageError(command, "--"+name+": "+err.Error())
			}
			*target = at.UnixMilli()
		}
	}
	client, err := cli.newClient(command)
	if err != nil {
		return err
	}
	response, err := unary(ctx, client, effectNone, 0, client.operator.Timeline, request)
	if err != nil {
		return err
	}
	timeline := event.Timeline{Events: event.Merge(event.Query{}, event.ListFromProto(response.GetEvents()))}
	for _, instance := range response.GetMissing() {
		timeline.Missing = append(timeline.Missing, clementinewind.Instance(instance))
	}
	switch command.String("output") {
	case outputJSON:
		return timeline.WriteJSON(cli.config.Stdout)
	case outputHTML:
		return timeline.WriteHTML(cli.config.Stdout)
	default:
		return timeline.WriteText(cli.config.Stdout)
	}
}

func (cli *CLI) parseTime(text string) (time.Time, error) {
	if ago, err := time.ParseDuration(text); err == nil {
		return cli.config.Now().Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errors.Errorf("%q: want a time such as 2006-01-02T15:04:05Z or a duration ago such as 30m", text)
	}
	return at, nil
}
