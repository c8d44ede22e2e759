// Package processtest tests the guarantees of the system with separate
// processes of the real binary: one process runs the stand-ins of the platform
// and of the backend servers, the others are daemons, which the tests kill,
// freeze and cut off from each other. The package contains only tests. They
// read which requests were executed from the run records of the stand-ins, and
// what callers received from the reports of package load.
package processtest
