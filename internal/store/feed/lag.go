package feed

import "time"

// LagDetector distinguishes a mirror that is only a few reads behind other routers from one that has stalled.
type LagDetector struct {
	// offset was reported by another router at the time since and has not been read here; since is zero if there is
	// none.
	offset int64
	since  time.Time
}

// Behind reports whether the mirror, which is complete up to next, has lacked a record for longer than tolerance
// although another router has read it. It is called with each offset that another router reports. On a topic that
// changes many times a second some router is always ahead, so a higher offset alone is no sign of a stall. When Behind
// returns true, the tolerance starts anew.
func (lagDetector *LagDetector) Behind(offset, next int64, tolerance time.Duration, now time.Time) bool {
	if !lagDetector.since.IsZero() && lagDetector.offset < next {
		lagDetector.since = time.Time{}
	}
	if lagDetector.since.IsZero() {
		if offset >= next {
			lagDetector.offset, lagDetector.since = offset, now
		}
		return false
	}
	if now.Sub(lagDetector.since) <= tolerance {
		return false
	}
	lagDetector.since = now
	return true
}
