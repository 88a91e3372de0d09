// Command quetzalpier is the rollout service, its operators' tools and its
// stand-ins.
package main

import (
	"os"

	"quetzalpier/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:])) }
