package usage

import "github.com/clementinewind/clementinewind"

// Source is who told of work or usage: a router of a zone, or the head of the zone for all of its routers.
type Source struct {
	// Instance is empty for a zone as a whole.
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
}

// IsRouterOf reports whether the source is a single router of a zone.
func (source Source) IsRouterOf(zone clementinewind.Zone) bool {
	return source.Instance != "" && source.Zone == zone
}
