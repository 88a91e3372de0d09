// Command cases plays the cases of the review that are scripts: cases N RECORD.
package main

import (
	"fmt"
	"os"

	"quetzalpier/review/kit"
)

var cases = map[string]func(record string) (int, error){
	"copies":  playCopies,
	"drain":   playDrain,
	"endless": playEndless,
	"split":   playSplit,
	"watch":   playWatch,
	"crash":   playCrash,
	"turns":   playTurns,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(kit.Failed)
	}
	status, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(kit.Failed)
	}
	os.Exit(status)
}
