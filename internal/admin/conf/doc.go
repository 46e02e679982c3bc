// Package conf reads the process settings of a router from an INI file. It validates the whole file and reports all faults
// at once.
package conf
