// Command quetzalpier runs the rollout service, its tools for operators, and
// stand-ins for the external systems that it uses.
package main

import (
	"os"

	"quetzalpier/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:])) }
