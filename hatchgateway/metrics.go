package hatchgateway

import (
	"fmt"
	"net/http"
	"runtime"
	"sort"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
)

// metricsPath is the path of the metrics as text, one name and value per line.
const metricsPath = "/metrics"

// quantiles are the quantiles served of each histogram.
var quantiles = []float64{0.5, 0.99}

// registerProcessMetrics registers gauges of the process's resource usage and of the
// daemon's state.
func (gateway *Gateway) registerProcessMetrics() {
	gauges := map[string]func() int64{
		"process.goroutines": func() int64 { return int64(runtime.NumGoroutine()) },
		"process.heapBytes": func() int64 {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			return int64(stats.HeapAlloc)
		},
		"fleet.daemons":         func() int64 { return int64(gateway.Daemons()) },
		"fleet.replicas":        func() int64 { return int64(len(gateway.View().Replicas())) },
		"fleet.replicasVersion": func() int64 { return int64(gateway.View().Version()) },
		"quarantine.suspected": func() int64 {
			suspected, _ := gateway.countSuspects()
			return suspected
		},
		"quarantine.held": func() int64 {
			_, held := gateway.countSuspects()
			return held
		},
		"fleet.storeAgeMs": func() int64 {
			gateway.mu.Lock()
			defer gateway.mu.Unlock()
			return gateway.freshness.Age(time.Now()).Milliseconds()
		},
		"fleet.storeCallsPaced": func() int64 {
			gateway.mu.Lock()
			defer gateway.mu.Unlock()
			if gateway.freshness.IsPaced(time.Now()) {
				return 1
			}
			return 0
		},
		"fleet.leader": func() int64 {
			if gateway.isLeader() {
				return 1
			}
			return 0
		},
		"configuration.version": func() int64 {
			if table := gateway.Table(); table != nil {
				return int64(table.Version)
			}
			return 0
		},
	}
	for name, read := range gauges {
		metrics.NewRegisteredFunctionalGauge(name, gateway.registry, read)
	}
}

// metricsHandler serves the metrics.
func (gateway *Gateway) metricsHandler() http.Handler {
	router := httprouter.New()
	router.GET(metricsPath, func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		var lines []string
		gateway.registry.Each(func(name string, meter any) {
			lines = append(lines, metricLines(name, meter)...)
		})
		sort.Strings(lines)
		writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = writer.Write([]byte(strings.Join(lines, "\n") + "\n")) // the client may have closed the connection
	})
	return router
}

// metricLines returns the lines of one metric, none if its type is not supported.
func metricLines(name string, meter any) []string {
	switch meter := meter.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, meter.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, meter.Value())}
	case metrics.Histogram:
		lines := []string{fmt.Sprintf("%s.count %d", name, meter.Count())}
		for _, quantile := range quantiles {
			lines = append(lines, fmt.Sprintf("%s.p%02.0f %.0f", name, 100*quantile, meter.Percentile(quantile)))
		}
		return lines
	}
	return nil
}
