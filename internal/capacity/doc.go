// Package capacity measures the costs of a fleet of daemons. Complete daemon cores
// run in virtual time in one process, with simulated callers, backend servers and
// platform. Messages between the cores pass through the real encoding. The package
// counts packets, bytes, calls to the platform, processor time and heap. It
// contains only tests.
//
// Every test run measures small fleets. The flag -capacity FILE measures all fleet
// sizes and writes the figures to a file; docs/CAPACITY.md gives the commands.
package capacity
