package feed

import "time"

// LagDetector tells a mirror that is only a few reads behind others from one that no longer follows.
type LagDetector struct {
	// offset was read elsewhere at the time since, and not yet here; since is zero for none.
	offset int64
	since  time.Time
}

// Behind reports whether the mirror, which is complete up to next, still lacks a record that was read elsewhere more than
// the allowed time ago. It is told each offset that is read elsewhere. The load it answers: entries that change many times a
// second, so that somebody always has a newer record. After a positive answer the time starts anew.
func (lag *LagDetector) Behind(offset, next int64, allowed time.Duration, now time.Time) bool {
	if !lag.since.IsZero() && lag.offset < next {
		lag.since = time.Time{}
	}
	if lag.since.IsZero() {
		if offset >= next {
			lag.offset, lag.since = offset, now
		}
		return false
	}
	if now.Sub(lag.since) <= allowed {
		return false
	}
	lag.since = now
	return true
}
