// Command tamarackstandin simulates the platform and the endpoints, for demos
// and tests.
package main

import (
	"os"

	"tamarackknot.example/tamarackknot/standin/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:]))
}
