// Command tamarackcall is a client for the demo and for load tests on the
// loopback interface.
package main

import (
	"os"

	"tamarackknot.example/tamarackknot/call/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:], os.Stdout, os.Stderr))
}
