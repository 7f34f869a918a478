// Package play simulates jobs under the plans of package allot, on simulated workers with a virtual
// clock. It shows what callers would get, and what a change to package allot is worth, without
// processes or a network.
package play
