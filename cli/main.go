// Command tamarackctl is the command-line client for operators.
package main

import (
	"os"

	"tamarackknot.example/tamarackknot/cli/commands"
)

func main() {
	os.Exit(int(commands.Run(os.Args[1:], os.Stdout, os.Stderr)))
}
