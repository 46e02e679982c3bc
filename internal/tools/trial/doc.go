// Package trial plays loads against a router before stand-ins of model engines, to compare ways of waiting, rejecting and
// placing. A scenario is an INI file; the same code runs in virtual time in the tests of the relay.
package trial
