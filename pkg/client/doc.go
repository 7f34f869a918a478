// Package client is the HTTP client of knapweedlug for callers and operators. It
// also defines what servers and clients share: headers, paths, error codes and
// the types of requests and answers.
package client
