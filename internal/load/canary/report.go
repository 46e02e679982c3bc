package canary

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

const (
	// upstreamWindow is the time constant of the counts of single upstreams.
	upstreamWindow = 5 * time.Second
	// upstreamInterval is how long the sum of these counts is reused.
	upstreamInterval = 200 * time.Millisecond
	// reportTTL is the age at which a report no longer shows what its routers do. A digest holds heartbeats of the last 2 s.
	reportTTL = 2 * time.Second
	// maxReported is the number of upstreams that a report names, minReportedBad the count from which it does. otherUpstreams stands
	// for the others.
	maxReported    = 12
	minReportedBad = 0.1
	otherUpstreams = 0
)

// Report is what a router, or a zone, tells of a roll-out.
type Report struct {
	Rollout uint64
	// Routers is the number of routers, and Stage the lowest stage that one of them has applied.
	Routers int
	Stage   Stage
	// OldRunning is the number of requests at other versions than the target.
	OldRunning int
	// Routes has the counts since the routers began with the roll-out, by a hash of the route.
	Routes map[uint32]Count
	// Upstreams has those of the target, by hashes.
	Upstreams map[uint32]UpstreamCount
}

// Plus returns the report of two sets of routers.
func (report Report) Plus(other Report) Report {
	sum := Report{
		Rollout: report.Rollout, Routers: report.Routers + other.Routers, Stage: min(report.Stage, other.Stage),
		OldRunning: report.OldRunning + other.OldRunning, Routes: maps.Clone(report.Routes), Upstreams: maps.Clone(report.Upstreams),
	}
	if sum.Routes == nil {
		sum.Routes = map[uint32]Count{}
	}
	if sum.Upstreams == nil {
		sum.Upstreams = map[uint32]UpstreamCount{}
	}
	for route, count := range other.Routes {
		sum.Routes[route] = sum.Routes[route].plus(count)
	}
	for upstream, count := range other.Upstreams {
		known := sum.Upstreams[upstream]
		sum.Upstreams[upstream] = UpstreamCount{Answers: known.Answers + count.Answers, Bad: known.Bad + count.Bad}
	}
	return sum.condensed()
}

type receivedReport struct {
	Report
	at time.Time
}

// Reports returns what this router tells of the roll-outs that have no result.
func (registry *Registry) Reports(now time.Time) []Report {
	if registry.idle() {
		return nil
	}
	var reports []Report
	services, targets := registry.stages(&reports, now)
	// The board is asked after the stages were read: a request that it does not count yet heeds them.
	for i, service := range services {
		for version, load := range registry.config.Loads(service) {
			if version != targets[i] {
				reports[i].OldRunning += load.Running
			}
		}
	}
	return reports
}

// stages appends the reports without the requests at other versions, and returns the services and targets.
func (registry *Registry) stages(reports *[]Report, now time.Time) (services []table.Service, targets []string) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for service, rollout := range registry.rollouts {
		if !rollout.open() {
			continue
		}
		report := Report{
			Rollout: rollout.id(), Routers: 1, Stage: rollout.applied.stage, Routes: maps.Clone(rollout.counts), Upstreams: map[uint32]UpstreamCount{},
		}
		for upstream, known := range rollout.upstreams {
			report.Upstreams[upstream] = UpstreamCount{Answers: known.answers.Tokens(now), Bad: known.bad.Tokens(now)}
		}
		*reports = append(*reports, report.condensed())
		services, targets = append(services, service), append(targets, rollout.applied.target)
	}
	return services, targets
}

// condensed returns the report with the counts of the upstreams that gave most of the bad answers, and those of the others in one sum.
func (report Report) condensed() Report {
	upstreams := slices.SortedFunc(maps.Keys(report.Upstreams), func(a, b uint32) int {
		return cmp.Compare(report.Upstreams[b].Bad, report.Upstreams[a].Bad)
	})
	counts := map[uint32]UpstreamCount{}
	for _, upstream := range upstreams {
		count, key := report.Upstreams[upstream], upstream
		if len(counts) >= maxReported || count.Bad < minReportedBad {
			key = otherUpstreams
		}
		counts[key] = UpstreamCount{Answers: counts[key].Answers + count.Answers, Bad: counts[key].Bad + count.Bad}
	}
	report.Upstreams = counts
	return report
}

// Merge records the reports of another router or zone, or of this one.
func (registry *Registry) Merge(source usage.Source, reports []Report, now time.Time) {
	if registry.idle() {
		return
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, report := range reports {
		for _, rollout := range registry.rollouts {
			if rollout.open() && rollout.id() == report.Rollout {
				rollout.merge(source, report, now)
				registry.judgeLocked(rollout, now)
			}
		}
	}
}

// RemoveRouterReports removes the reports of single routers of a zone, once there is one of the whole zone.
func (registry *Registry) RemoveRouterReports(remove func(source usage.Source) bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, rollout := range registry.rollouts {
		maps.DeleteFunc(rollout.sources, func(source usage.Source, _ receivedReport) bool {
			if remove(source) {
				rollout.replace(source, nil)
				return true
			}
			return false
		})
	}
}

// merge records a report and adds what is new in the sum of its zone to the evidence.
func (rollout *rollout) merge(source usage.Source, report Report, now time.Time) {
	rollout.replace(source, report.Routes)
	rollout.sources[source] = receivedReport{Report: report, at: now}
	sum := rollout.routerSums[source.Zone]
	if whole, ok := rollout.sources[usage.Source{Zone: source.Zone}]; ok && now.Sub(whole.at) <= reportTTL {
		sum = whole.Routes
	}
	counted, ok := rollout.counted[source.Zone]
	if !ok {
		counted = map[uint32]Count{}
		rollout.counted[source.Zone] = counted
	}
	var total Count
	for route, count := range sum {
		known, ok := rollout.evidence[route]
		if !ok {
			known = newRouteEvidence()
			rollout.evidence[route] = known
		}
		added := count.since(counted[route])
		counted[route] = count
		known.add(added, now)
		total = total.plus(added)
	}
	rollout.total.add(total, now)
}

// replace replaces the part of a router in the sum of the routers of its zone. A sum over all of them at each report would take the head
// of a large zone too long.
func (rollout *rollout) replace(source usage.Source, routes map[uint32]Count) {
	if source.Instance == "" {
		return
	}
	sums, ok := rollout.routerSums[source.Zone]
	if !ok {
		sums = map[uint32]Count{}
		rollout.routerSums[source.Zone] = sums
	}
	for route, count := range rollout.sources[source].Routes {
		sums[route] = sums[route].minus(count)
	}
	for route, count := range routes {
		sums[route] = sums[route].plus(count)
	}
}

// current returns the reports that are recent, without those of single routers of a zone of which there is one of the whole.
func (rollout *rollout) current(now time.Time) []Report {
	var reports []Report
	for source, report := range rollout.sources {
		whole, ok := rollout.sources[usage.Source{Zone: source.Zone}]
		replaced := source.Instance != "" && ok && now.Sub(whole.at) <= reportTTL
		if now.Sub(report.at) <= reportTTL && !replaced {
			reports = append(reports, report.Report)
		}
	}
	return reports
}

// moved reports whether all routers that are heard, of which there are the given number, send nothing to other versions, and nothing
// runs there.
func (rollout *rollout) moved(routers int, now time.Time) bool {
	covered := 0
	for _, report := range rollout.current(now) {
		if report.Stage < StageMoved || report.OldRunning > 0 {
			return false
		}
		covered += report.Routers
	}
	return covered >= routers
}

// upstreamCounts returns the counts of the upstreams of the target at all routers, as of the last upstreamInterval.
func (rollout *rollout) upstreamCounts(now time.Time) map[uint32]UpstreamCount {
	if rollout.upstreamSums != nil && now.Sub(rollout.summedAt) < upstreamInterval {
		return rollout.upstreamSums
	}
	sum := Report{Upstreams: map[uint32]UpstreamCount{}}
	for _, report := range rollout.current(now) {
		for upstream, count := range report.Upstreams {
			known := sum.Upstreams[upstream]
			sum.Upstreams[upstream] = UpstreamCount{Answers: known.Answers + count.Answers, Bad: known.Bad + count.Bad}
		}
	}
	rollout.upstreamSums, rollout.summedAt = sum.condensed().Upstreams, now
	return rollout.upstreamSums
}
