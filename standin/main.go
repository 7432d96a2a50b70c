// Command tamarackstandin serves stand-ins for the platform and for endpoints.
package main

func main() {}
