// Command _stand-4 plays the script cases of the third review: it starts routers as the deploy file says, with a store, replicas and clients of
// its own, and checks one rule.
package main

import (
	"fmt"
	"os"
)

var scenarios = map[string]func(world *world, trouble bool) error{
	"dark":     dark,
	"drill":    drill,
	"inplace":  inPlace,
	"latebeat": lateBeat,
	"locate":   locate,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-4 SCENARIO FOLDER")
		os.Exit(2)
	}
	world, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = scenarios[os.Args[1]](world, os.Getenv("TROUBLE") != "0")
	world.end()
	switch {
	case err != nil:
		world.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case len(world.broken) > 0:
		fmt.Printf("broken: %d; the first: %s\n", len(world.broken), world.broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
