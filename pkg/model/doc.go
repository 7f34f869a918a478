// Package model holds the types that operators, callers and the daemons share:
// teams and their guaranteed shapes, services, workers, jobs, intents and
// plans. All values are plain data and are not modified once they are shared:
// methods whose names begin with With return a changed copy.
package model
