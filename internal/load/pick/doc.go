// Package pick decides where a request goes, or that it is rejected. It reads and changes nothing else.
package pick
