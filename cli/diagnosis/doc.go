// Package diagnosis explains from the logs of entry hosts which requests were
// not answered in time and why. It reads the lines that a host writes for each
// request and for each load, so it needs neither the hosts nor the platform.
package diagnosis
