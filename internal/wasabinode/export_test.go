package wasabinode

// AcceptFor is acceptFor.
var AcceptFor = acceptFor
