package table

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/clementinewind/clementinewind"
)

// Table indexes one configuration. It is immutable and safe for concurrent use.
type Table struct {
	configuration Configuration
	// routesByHost holds the routes of each host, sorted by path prefix, longest first.
	routesByHost      map[string][]Route
	settingsByService map[Service]ServiceSettings
	organisationByKey map[string]clementinewind.Organisation
}

// New returns the index of a configuration.
func New(configuration Configuration) *Table {
	table := &Table{
		configuration:     configuration,
		routesByHost:      map[string][]Route{},
		settingsByService: map[Service]ServiceSettings{},
		organisationByKey: map[string]clementinewind.Organisation{},
	}
	for _, route := range configuration.Routes {
		host := strings.ToLower(route.Host)
		table.routesByHost[host] = append(table.routesByHost[host], route)
	}
	for _, routes := range table.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, service := range configuration.Services {
		table.settingsByService[service.Name] = service
	}
	for _, organisation := range configuration.Organisations {
		for _, key := range organisation.Keys {
			table.organisationByKey[key] = organisation.Organisation
		}
	}
	return table
}

// Version returns the version of the configuration.
func (table *Table) Version() Version { return table.configuration.Version }

// Limits returns the limits for all routes.
func (table *Table) Limits() Limits { return table.configuration.Limits }

// Match returns the route of a host with the longest matching path prefix. The port of the host is ignored.
func (table *Table) Match(hostPort, path string) (Route, bool) {
	host, _, _ := strings.Cut(strings.ToLower(hostPort), ":")
	for _, route := range table.routesByHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Organisation returns the organisation that owns an API key.
func (table *Table) Organisation(key string) (clementinewind.Organisation, bool) {
	organisation, ok := table.organisationByKey[key]
	return organisation, ok
}

// RequiresKey reports whether API keys are configured, so that requests need one.
func (table *Table) RequiresKey() bool { return len(table.configuration.Organisations) > 0 }

// Service returns the settings of a service. Only the name is set if it is not configured.
func (table *Table) Service(name Service) ServiceSettings {
	if service, ok := table.settingsByService[name]; ok {
		return service
	}
	return ServiceSettings{Name: name}
}

// Services returns the settings of all services.
func (table *Table) Services() []ServiceSettings { return table.configuration.Services }

// ChooseService picks a service of the route at random by weight. It returns false if no service has a weight.
func (route Route) ChooseService(random *rand.Rand) (Service, bool) {
	total := 0.0
	for _, weighted := range route.TrafficSplit {
		total += weighted.Weight
	}
	if total <= 0 {
		return "", false
	}
	remaining := random.Float64() * total
	for _, weighted := range route.TrafficSplit {
		if remaining -= weighted.Weight; remaining < 0 {
			return weighted.Service, true
		}
	}
	return route.TrafficSplit[len(route.TrafficSplit)-1].Service, true
}

// LeadsTo reports whether requests of the route may go to a service.
func (route Route) LeadsTo(service Service) bool {
	return slices.ContainsFunc(route.TrafficSplit, func(weight ServiceWeight) bool { return weight.Service == service })
}

// ResumableServices returns the services to which routes lead whose streams another upstream can continue.
func (table *Table) ResumableServices() []Service {
	var services []Service
	for _, route := range table.configuration.Routes {
		if route.Kind != RouteStream || !route.Resumable {
			continue
		}
		for _, weight := range route.TrafficSplit {
			if !slices.Contains(services, weight.Service) {
				services = append(services, weight.Service)
			}
		}
	}
	return services
}
