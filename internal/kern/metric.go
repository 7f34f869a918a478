package kern

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
)

// reportInterval is how often tally updates the Prometheus registry.
const reportInterval = time.Second

// newMetrics returns the root scope, the handler of /metrics, and the closer of
// the scope.
func newMetrics(node Node, log *zap.Logger) (tally.Scope, http.Handler, io.Closer) {
	reg := prom.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tprom.NewReporter(tprom.Options{
		Registerer:      reg,
		Gatherer:        reg,
		OnRegisterError: func(err error) { log.Error("metric not registered", zap.Error(err)) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "knap",
		Tags:                   map[string]string{"cluster": node.Cluster, "node": node.Name, "domain": node.Domain, "region": node.Region},
		CachedReporter:         reporter,
		Separator:              tprom.DefaultSeparator,
		SanitizeOptions:        &tprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), closer
}
