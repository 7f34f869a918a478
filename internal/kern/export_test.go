package kern

// WithSignals exports withSignals to the tests of package kern_test.
var WithSignals = withSignals
