package wasabiorder

// DecodeState is the decoder of an engine's answer, for tests.
var DecodeState = decodeState
