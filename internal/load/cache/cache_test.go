package cache_test

import (
	"fmt"

	"github.com/clementinewind/clementinewind/internal/load/cache"
)

func ExamplePrefixes() {
	prefixes := cache.New(10_000)
	prefixes.Add(1, 6_000)
	prefixes.Add(2, 3_000)
	prefixes.Add(1, 6_000)
	// Evicts prefix 2, the least recently used one.
	prefixes.Add(3, 3_000)
	fmt.Println(prefixes.Contains(1), prefixes.Contains(2), prefixes.Contains(3))
	// Output: true false true
}
