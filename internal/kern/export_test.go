package kern

// ServeWithSignals serves a daemon that obeys signals.
var ServeWithSignals = withSignals
