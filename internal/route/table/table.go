package table

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/clementinewind/clementinewind"
)

// Table answers look-ups in one configuration. It is immutable and may be used by many goroutines.
type Table struct {
	configuration Configuration
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]Route
	services map[Service]ServiceSettings
	keys     map[string]clementinewind.Organisation
}

// New compiles a configuration.
func New(configuration Configuration) *Table {
	table := &Table{
		configuration: configuration,
		hosts:         map[string][]Route{},
		services:      map[Service]ServiceSettings{},
		keys:          map[string]clementinewind.Organisation{},
	}
	for _, route := range configuration.Routes {
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, service := range configuration.Services {
		table.services[service.Name] = service
	}
	for _, organisation := range configuration.Organisations {
		for _, key := range organisation.Keys {
			table.keys[key] = organisation.Organisation
		}
	}
	return table
}

// Version returns the version of the configuration.
func (table *Table) Version() Version { return table.configuration.Version }

// Limits returns what callers may send.
func (table *Table) Limits() Limits { return table.configuration.Limits }

// Match returns the route of a host with the longest prefix of a path.
func (table *Table) Match(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range table.hosts[name] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Organisation returns the organisation that holds a key.
func (table *Table) Organisation(key string) (clementinewind.Organisation, bool) {
	organisation, ok := table.keys[key]
	return organisation, ok
}

// Keyed reports whether requests need a key at all.
func (table *Table) Keyed() bool { return len(table.configuration.Organisations) > 0 }

// Service returns the settings of a service.
func (table *Table) Service(name Service) ServiceSettings {
	if service, ok := table.services[name]; ok {
		return service
	}
	return ServiceSettings{Name: name}
}

// Services returns the settings of all services.
func (table *Table) Services() []ServiceSettings { return table.configuration.Services }

// Choose picks a service of the route by weight.
func (route Route) Choose(random *rand.Rand) (Service, bool) {
	total := 0.0
	for _, share := range route.TrafficSplit {
		total += share.Weight
	}
	if total <= 0 {
		return "", false
	}
	left := random.Float64() * total
	for _, share := range route.TrafficSplit {
		if left -= share.Weight; left < 0 {
			return share.Service, true
		}
	}
	return route.TrafficSplit[len(route.TrafficSplit)-1].Service, true
}
