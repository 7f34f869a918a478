// Package diary reconstructs a day from the log lines of all processes: what
// became of each job, why jobs waited, and how long each phase took. It reads
// nothing but logs.
package diary
