package roster_test

import (
	"testing"
	"time"

	"github.com/clementinewind/clementinewind/internal/fleet/roster"
)

// BenchmarkExcess measures the roster lookup of each request in a fleet of 64 routers.
func BenchmarkExcess(b *testing.B) {
	built := roster.New(roster.Config{Self: member(0, "a")})
	for number := 1; number < 64; number++ {
		built.RecordHeartbeat(member(number, "a"), start)
	}
	b.ReportAllocs()
	for step := 0; b.Loop(); step++ {
		built.ExcessFraction(start.Add(time.Duration(step) * time.Microsecond))
	}
}

// BenchmarkOwns measures the roster lookup of each placement for each cold upstream, in a fleet of 64 routers.
func BenchmarkOwns(b *testing.B) {
	built := roster.New(roster.Config{Self: member(0, "a")})
	for number := 1; number < 64; number++ {
		built.RecordHeartbeat(member(number, "a"), start)
	}
	b.ReportAllocs()
	for b.Loop() {
		built.Owns("upstream", start)
	}
}
