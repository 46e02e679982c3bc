// Command stand-2 plays the cases of the second review. Each starts the program as the deploy file does, with stand-ins for clients,
// replicas and the platform on loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
package main

import (
	"fmt"
	"os"
)

// cases returns whether the rule was broken.
var cases = map[string]func(world *world, trouble bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(2)
	}
	world, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	world.trouble = os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](world, world.trouble)
	if err != nil {
		world.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	world.close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
