package feed

import "time"

// LagDetector distinguishes a mirror that is only a few reads behind other routers from one that has stalled.
type LagDetector struct {
	// position was reported by another router at the time since and has not been read here; since is zero if there is
	// none.
	position Position
	since    time.Time
}

// Behind reports whether the mirror, which is complete below next, has lacked a record for longer than tolerance
// although another router has read it. It is called with each position that another router reports. On a topic that
// changes many times a second some router is always ahead, so a higher position alone is no sign of a stall. During a
// stall, Behind returns true at most once per tolerance.
func (lagDetector *LagDetector) Behind(position, next Position, tolerance time.Duration, now time.Time) bool {
	if !lagDetector.since.IsZero() && lagDetector.position < next {
		lagDetector.since = time.Time{}
	}
	if lagDetector.since.IsZero() {
		if position >= next {
			lagDetector.position, lagDetector.since = position, now
		}
		return false
	}
	if now.Sub(lagDetector.since) <= tolerance {
		return false
	}
	lagDetector.since = now
	return true
}
