// Package tree holds the settings of the fleet as an immutable tree of sections. A section inherits the keys of its
// parent unless it overrides them. An edit copies the tree and shares the unchanged sections (copy-on-write).
package tree
