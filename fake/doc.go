// Package fake holds in-memory stand-ins of the platform and of endpoints with
// switchable faults. They use only time.Now and the timers of the standard
// library, so that tests may run them under testing/synctest.
package fake
