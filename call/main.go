// Command tamarackcall is a caller for the demo and for measurements on
// loopback.
package main

import (
	"os"

	"tamarackknot.example/tamarackknot/call/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:], os.Stdout, os.Stderr))
}
