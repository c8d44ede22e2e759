// Package capacity measures what a fleet of daemons costs: whole cores run in
// virtual time in one process, their messages go through the real encoding,
// and packets, bytes, calls of the platform, processor time and heap are
// counted. It holds tests only.
//
// A small fleet runs with every test run. The flag -capacity FILE runs all sizes
// and writes the figures to a file; docs/CAPACITY.md gives the commands.
package capacity
