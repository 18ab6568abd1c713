package medlarsoak

import "time"

// RecoverBound is the longest time from the return of all instances until nine tenths of requests are served.
const RecoverBound = 15 * time.Second

// binWidth is the time in which the served share is determined, and settledBins the number of successive ones in
// which it has to be recovered.
const (
	binWidth    = 250 * time.Millisecond
	settledBins = 3
	recovered   = 0.9
)

// UntilRecovered returns the time from begin until nine tenths of the first tries are served in settledBins successive
// bins; negative if they never are.
func UntilRecovered(calls []*Call, begin time.Time) time.Duration {
	var sent, served []int
	for _, c := range calls {
		since := time.UnixMilli(c.At).Sub(begin)
		if since < 0 || c.After > 0 {
			continue
		}
		n := int(since / binWidth)
		for len(sent) <= n {
			sent, served = append(sent, 0), append(served, 0)
		}
		sent[n]++
		if c.Served() {
			served[n]++
		}
	}
	good := 0
	for n := range sent {
		if sent[n] == 0 || float64(served[n]) < recovered*float64(sent[n]) {
			good = 0
			continue
		}
		if good++; good == settledBins {
			return time.Duration(n-settledBins+1) * binWidth
		}
	}
	return -1
}
