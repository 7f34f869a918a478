package kern

// ServeWithSignals exports serveWithSignals to the tests of package kern_test.
var ServeWithSignals = serveWithSignals
