// Package tree holds the settings of the fleet as an immutable tree of sections. A section inherits the keys of its
// parent unless it overrides them. Edits copy the tree and share the sections that they leave unchanged.
package tree
