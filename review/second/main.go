// Command second plays the cases of the second review: it starts the nodes of a small deployment
// as processes, with stand-ins of the platform, the workers and the clients.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play plays a case. It returns what broke the rule, if anything did.
type play func(r *rig, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"flood":   playFlood,
	"body":    playBody,
	"jobs":    playJobs,
	"moved":   playMoved,
	"release": playRelease,
}

func main() {
	const args = 4
	if len(os.Args) != args || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE DIR RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(p play, dir, record string) int {
	r, err := openRig(dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := p(r, os.Getenv("TROUBLE") != "0")
	for _, text := range broken {
		r.note("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	switch {
	case len(broken) > 0:
		return exitBroken
	case err != nil:
		r.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	r.note("held")
	fmt.Println("held")
	return exitHeld
}
