// Package cli holds the commands of the clementinewind program.
package cli
