// Package processtest proves what the system promises over separate processes
// of the real binary: one that plays the platform and the backend servers, and
// several daemons, which the tests kill, freeze and cut off from each other.
// The package has only tests. What has run is read from the records that the
// stand-ins keep, and what callers were told from package load.
package processtest
