package sched

import (
	"testing"

	"github.com/knapweedlug/knapweedlug/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
