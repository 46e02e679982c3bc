// Package cli implements the command-line interface of the clementinewind program.
package cli
