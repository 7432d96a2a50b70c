// Package tamarackknot defines the resources, records and interfaces that the
// packages of the serving system share. Implementations live in the packages
// below it.
package tamarackknot
