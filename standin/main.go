// Command tamarackstandin serves stand-ins for the platform and for endpoints.
package main

import (
	"os"

	"tamarackknot.example/tamarackknot/standin/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:]))
}
