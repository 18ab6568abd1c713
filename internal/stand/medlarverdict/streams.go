package medlarverdict

import (
	"slices"

	"medlarfield/internal/stand/medlarsoak"
)

// MixedStreams is the number of streams that may have events of two software versions, as the users state it.
const MixedStreams = 2

// checkBuilds checks of which software versions the events of streams are, and counts the requests that took streams up
// (R12).
func (res *Result) checkBuilds(calls []*medlarsoak.Call) {
	builds := map[string][]string{} // by the request with which the stream began
	for _, c := range calls {
		stream := c.ID
		if c.Began != "" {
			stream = c.Began
			res.Resumed++
			if c.Last() > c.After {
				res.WentOn++
			}
		}
		builds[stream] = append(builds[stream], c.Builds()...)
	}
	var mixed []string
	for stream, named := range builds {
		slices.Sort(named)
		if builds[stream] = slices.Compact(named); len(builds[stream]) > 1 {
			mixed = append(mixed, stream)
		}
	}
	if len(mixed) > MixedStreams {
		slices.Sort(mixed)
		res.broken(RuleBuild, mixed[0], "%d streams have events of two software versions, this one of %v", len(mixed), builds[mixed[0]])
	}
}
