package usage

import "github.com/clementinewind/clementinewind"

// Source identifies whose load or usage is reported: that of one router, or of all routers of a zone.
type Source struct {
	// Instance is empty for a whole zone.
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
}

// IsRouterOf reports whether the source is a single router of a zone.
func (source Source) IsRouterOf(zone clementinewind.Zone) bool {
	return source.Instance != "" && source.Zone == zone
}
