package medlarreader

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

// BenchmarkPlan measures a look at the readers of 15 stores in a fleet of 143 instances in three zones.
func BenchmarkPlan(b *testing.B) {
	fleet := fleetOf(143, 3)
	var stores []medlarid.InstanceID
	for i := range 15 {
		stores = append(stores, medlarid.InstanceID(fmt.Sprint("store-", i)))
	}
	t := tableOf(fleet, 0, stores...)
	var p Plan
	for b.Loop() {
		p = t.Plan(time.Time{})
	}
	b.ReportMetric(float64(len(p.Subscribe)), "connections")
}
