package main

// Each role registers itself with package kern when its package is imported.
import (
	_ "github.com/knapweedlug/knapweedlug/internal/agent"
	_ "github.com/knapweedlug/knapweedlug/internal/contrl"
	_ "github.com/knapweedlug/knapweedlug/internal/entry"
	_ "github.com/knapweedlug/knapweedlug/internal/jobagt"
	_ "github.com/knapweedlug/knapweedlug/internal/jobctl"
	_ "github.com/knapweedlug/knapweedlug/internal/jobent"
	_ "github.com/knapweedlug/knapweedlug/platform"
)
