package kern

// WithSignals serves a daemon that obeys signals.
var WithSignals = withSignals
