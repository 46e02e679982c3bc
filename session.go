package clementinewind

// Session identifies one run of a router. It is the offset of the record that opened the session.
type Session Offset

// NoSession is the session of a router that has not opened one yet.
const NoSession Session = -1
