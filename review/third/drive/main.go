// Command drive plays a case of the third review. It prints whether the rule held, and exits with
// 1 if it was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"quetzalpier/review/third/rig"
)

// limit is how long a case may take.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(record string, trouble bool) (broken string, err error){
		"busy":     playBusy,
		"disks":    playDisks,
		"resume":   playResume,
		"restarts": playRestarts,
		"results":  playResults,
		"retire":   playRetire,
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	go giveUp()
	broken, err := play(os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}

// giveUp ends all processes at a signal or once the case takes too long.
func giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	rig.KillAll()
	fmt.Println("the case could not run: it was ended or took too long")
	os.Exit(2)
}
