package metrics

import "github.com/prometheus/client_golang/prometheus"

// emitter sends metrics that have their first label values in common.
type emitter struct {
	ch     chan<- prometheus.Metric
	labels []string
}

func (e emitter) counter(d *prometheus.Desc, v float64, labels ...string) {
	e.emit(d, prometheus.CounterValue, v, labels)
}

func (e emitter) gauge(d *prometheus.Desc, v float64, labels ...string) {
	e.emit(d, prometheus.GaugeValue, v, labels)
}

func (e emitter) emit(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels []string) {
	e.ch <- prometheus.MustNewConstMetric(d, kind, v, append(e.labels[:len(e.labels):len(e.labels)], labels...)...)
}
