// Command tamarackd is the entry daemon.
package main

import (
	"os"

	"tamarackknot.example/tamarackknot/entry/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:], os.Stdout, os.Stderr))
}
