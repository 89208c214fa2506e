package wasabiorder

// DecodeState exports decodeState for tests.
var DecodeState = decodeState
