// Command tamarackd is the entry daemon.
package main

func main() {}
