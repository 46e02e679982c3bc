// Command stand-3 plays cases 7 and 8 of the second review with stand-ins of its own.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*recorder, bool) (bool, error){
		"burst":  poisonBurst,
		"beside": poisonBeside,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	recorder, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](recorder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		recorder.add("not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
