package router

import (
	"sync"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// markers holds the stop markers of availability zones that were taken out of service while the log was down.
type markers struct {
	mu    sync.Mutex
	zones map[clementinewind.Zone]*peerv1.StopMarker
}

func newMarkers() *markers {
	return &markers{zones: map[clementinewind.Zone]*peerv1.StopMarker{}}
}

// add takes markers and reports whether one of them is new.
func (markers *markers) add(added []*peerv1.StopMarker) bool {
	markers.mu.Lock()
	defer markers.mu.Unlock()
	var changed bool
	for _, marker := range added {
		known := markers.zones[clementinewind.Zone(marker.Zone)]
		if known == nil || known.Offset < marker.Offset {
			markers.zones[clementinewind.Zone(marker.Zone)] = marker
			changed = true
		}
	}
	return changed
}

// stops reports whether a marker stops new work in a zone.
func (markers *markers) stops(zone clementinewind.Zone) bool {
	markers.mu.Lock()
	defer markers.mu.Unlock()
	return markers.zones[zone] != nil
}

// all returns all markers.
func (markers *markers) all() []*peerv1.StopMarker {
	markers.mu.Lock()
	defer markers.mu.Unlock()
	list := make([]*peerv1.StopMarker, 0, len(markers.zones))
	for _, marker := range markers.zones {
		list = append(list, marker)
	}
	return list
}

// settle removes the markers whose zone has been edited after the marker was made, and reports whether there were any.
func (markers *markers) settle(view state.View) bool {
	markers.mu.Lock()
	defer markers.mu.Unlock()
	var changed bool
	for zone, marker := range markers.zones {
		if zoneEditedAfter(view, zone, clementinewind.Offset(marker.Offset)) {
			delete(markers.zones, zone)
			changed = true
		}
	}
	return changed
}

// zoneEditedAfter reports whether an accepted edit set the service of a zone at or above a version.
func zoneEditedAfter(view state.View, zone clementinewind.Zone, version clementinewind.Offset) bool {
	for _, edit := range view.Edits {
		if !edit.Accepted || edit.Version <= version {
			continue
		}
		for _, change := range edit.Changes {
			if change.Section == zoneSection(zone) && change.Key == tree.InServiceKey {
				return true
			}
		}
	}
	return false
}

func zoneSection(zone clementinewind.Zone) string {
	return tree.ZonesSection + "." + string(zone)
}
