package medlarsoak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// deadlyInterval is the time between two requests of each kind under which replicas may crash.
const deadlyInterval = 120 * time.Millisecond

// Paths of requests under which replicas may crash.
const (
	pathDeadlyRequest = PrefixRead + "deadly"
	pathDeadlyPart    = PrefixQuery + "deadly"
)

var deadlyPaths = map[string]Deadly{pathDeadlyRequest: DeadlyRequest, pathDeadlyPart: DeadlyPart}

// deadlyPart is a part that only deadly prompts have.
const deadlyPart = 99

// sendDeadly sends requests under which replicas may crash until the load ends: one that comes again and again, and
// prompts that have a part in common. They are not recorded, since nobody misses their answers.
func (l *Load) sendDeadly() {
	r := rand.New(rand.NewPCG(l.Seed, 3))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; !l.done(); n++ {
		for _, path := range []string{pathDeadlyRequest, pathDeadlyPart} {
			to := l.Instances[r.IntN(len(l.Instances))]
			c := &Call{ID: fmt.Sprintf("%s-%x-%d", deadlyPaths[path], time.Now().UnixMilli(), n), Path: path}
			req := l.request(c, "http://"+string(to.Address), deadlyPart, n)
			wg.Go(func() {
				defer fasthttp.ReleaseRequest(req)
				_ = l.client.Do(req, nil)
			})
		}
		time.Sleep(deadlyInterval)
	}
}
