// Package tamarackknot defines the resources, records and interfaces that the
// packages of the serving system share. The subpackages implement them.
package tamarackknot
