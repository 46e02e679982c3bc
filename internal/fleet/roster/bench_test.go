package roster_test

import (
	"testing"
	"time"

	"github.com/clementinewind/clementinewind/internal/fleet/roster"
)

// BenchmarkExcess measures what each request asks the roster of a fleet of 64 routers.
func BenchmarkExcess(b *testing.B) {
	built := roster.New(roster.Config{Self: member(0, "a")})
	for number := 1; number < 64; number++ {
		built.RecordHeartbeat(member(number, "a"), began)
	}
	b.ReportAllocs()
	for step := 0; b.Loop(); step++ {
		built.ExcessFraction(began.Add(time.Duration(step) * time.Microsecond))
	}
}

// BenchmarkOwns measures what each placement asks the roster for each cold upstream.
func BenchmarkOwns(b *testing.B) {
	built := roster.New(roster.Config{Self: member(0, "a")})
	for number := 1; number < 64; number++ {
		built.RecordHeartbeat(member(number, "a"), began)
	}
	b.ReportAllocs()
	for b.Loop() {
		built.Owns("upstream", began)
	}
}
