package cache_test

import (
	"fmt"

	"github.com/clementinewind/clementinewind/internal/load/cache"
)

func ExamplePrefixes() {
	prefixes := cache.New(10_000)
	prefixes.Use(1, 6_000)
	prefixes.Use(2, 3_000)
	prefixes.Use(1, 6_000)
	// Drives out the prefix that was not used for the longest time.
	prefixes.Use(3, 3_000)
	fmt.Println(prefixes.Holds(1), prefixes.Holds(2), prefixes.Holds(3))
	// Output: true false true
}
