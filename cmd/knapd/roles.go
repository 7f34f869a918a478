package main

// Each role registers itself with the kernel when its package is imported here,
// by a blank import.
