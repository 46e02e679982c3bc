// Package conf reads the process settings of a router from an INI file and checks them as a whole.
package conf
