package clementinewind

// Organisation is the name of a customer that shares the capacity of the fleet.
type Organisation string
