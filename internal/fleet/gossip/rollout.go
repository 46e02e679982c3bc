package gossip

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

// mergeRollouts records the reports of a router, or of a zone, which replace those of its routers.
func (gossip *Gossip) mergeRollouts(source usage.Source, encoded []*fleetv1.Rollout, now time.Time) {
	if source.Instance == "" {
		gossip.config.Canary.RemoveRouterReports(func(other usage.Source) bool { return other.IsRouterOf(source.Zone) })
	}
	gossip.config.Canary.Merge(source, decodeRollouts(encoded), now)
}

func encodeRollouts(reports []canary.Report) []*fleetv1.Rollout {
	var encoded []*fleetv1.Rollout
	for _, report := range reports {
		rollout := &fleetv1.Rollout{
			Rollout: report.Rollout, Routers: toUint32(report.Routers), Stage: toUint32(int(report.Stage)), OldRunning: toUint32(report.OldRunning),
		}
		for route, count := range report.Routes {
			rollout.Counts = append(rollout.Counts, &fleetv1.RolloutCount{
				Route: route, Answers: count.Answers, Bad: count.Bad, OldAnswers: count.OldAnswers, OldBad: count.OldBad,
			})
		}
		for upstream, count := range report.Upstreams {
			rollout.Upstreams = append(rollout.Upstreams, &fleetv1.RolloutUpstream{
				Upstream: upstream, Answers: float32(count.Answers), Bad: float32(count.Bad),
			})
		}
		encoded = append(encoded, rollout)
	}
	return encoded
}

func decodeRollouts(encoded []*fleetv1.Rollout) []canary.Report {
	var reports []canary.Report
	for _, rollout := range encoded {
		report := canary.Report{
			Rollout: rollout.Rollout, Routers: int(rollout.Routers), Stage: canary.Stage(rollout.Stage), OldRunning: int(rollout.OldRunning),
			Routes: map[uint32]canary.Count{}, Upstreams: map[uint32]canary.UpstreamCount{},
		}
		for _, count := range rollout.Counts {
			report.Routes[count.Route] = canary.Count{
				Answers: count.Answers, Bad: count.Bad, OldAnswers: count.OldAnswers, OldBad: count.OldBad,
			}
		}
		for _, count := range rollout.Upstreams {
			report.Upstreams[count.Upstream] = canary.UpstreamCount{Answers: float64(count.Answers), Bad: float64(count.Bad)}
		}
		reports = append(reports, report)
	}
	return reports
}

// sumRollouts adds up the reports of single routers.
func sumRollouts(encoded []*fleetv1.Rollout) []*fleetv1.Rollout {
	sums := map[uint64]canary.Report{}
	for _, report := range decodeRollouts(encoded) {
		if sum, ok := sums[report.Rollout]; ok {
			report = sum.Plus(report)
		}
		sums[report.Rollout] = report
	}
	var reports []canary.Report
	for _, sum := range sums {
		reports = append(reports, sum)
	}
	return encodeRollouts(reports)
}

// EncodeDecision returns the record of a decision for the platform's store.
func EncodeDecision(decision canary.Decision) *fleetv1.RolloutDecision {
	return &fleetv1.RolloutDecision{
		Service: string(decision.Service), Target: decision.Target, Stage: toUint32(int(decision.Stage)), Order: decision.Order,
		StartedMillis: decision.StartedAt.UnixMilli(), Barred: decision.Barred,
	}
}

// DecodeDecision returns the decision in a record.
func DecodeDecision(record *fleetv1.RolloutDecision) canary.Decision {
	return canary.Decision{
		Service: table.Service(record.Service), Target: record.Target, Stage: canary.Stage(record.Stage), Order: record.Order,
		StartedAt: time.UnixMilli(record.StartedMillis), Barred: record.Barred,
	}
}
