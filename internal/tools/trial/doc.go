// Package trial runs load scenarios against a router with simulated model engines, to compare policies for queueing, load
// shedding and placement. A scenario is an INI file. The tests of package relay run scenarios in virtual time.
package trial
