package clementinewind

// Offset is the position of a record in a log stream. It starts at 0 and rises by one a record.
type Offset int64
