package clementinewind

// Zone is the name of an availability zone.
type Zone string
