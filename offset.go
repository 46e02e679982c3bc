package clementinewind

// Offset is the position of a record in a log stream. Offsets start at 0 and are consecutive.
type Offset int64
