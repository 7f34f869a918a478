// Package model holds the types that operators, callers and the daemons share:
// teams and their guaranteed shapes, services, workers, jobs, intents and
// plans. All values are plain data. A value is never changed in place once it
// has been shared: With methods return a changed copy.
package model
