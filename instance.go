package clementinewind

// Instance is the name of a machine that runs one router.
type Instance string
