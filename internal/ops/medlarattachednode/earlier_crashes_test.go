package medlarattachednode_test

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/stand/medlarsite"
	"medlarfield/platform"
)

// TestCrashesBeforeTheStartRefuseNothing guards against sound requests that are refused after all replicas and
// all instances have lost power at once, since nobody remembers that they were answered.
func TestCrashesBeforeTheStartRefuseNothing(t *testing.T) {
	t.Parallel()
	const replicas = 12
	q := request{method: "POST", path: "/query/x", id: "after", body: "{}", fields: prompt("aa:100,bb:400,cc:500")}
	site, err := medlarsite.New(medlarsite.Default())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	for n := range replicas {
		id := medlarid.InstanceID(fmt.Sprint("lost-", n))
		lost := medlarsuspect.Request{Target: q.path, Account: medlarsite.Account, Prompt: fmt.Sprint(n), Body: []byte(q.body)}
		value, err := medlarnotice.EncodeCrash(medlarsuspect.Report{Crash: medlarsuspect.CrashID{Replica: id, Incarnation: 1}, Begun: append(lost.Traits(), "aa")})
		if err != nil {
			t.Fatal(err)
		}
		site.Store.Put(medlarplatform.TopicNotices, medlarnotice.CrashKey("entry-1", fmt.Sprint(n)), value)
	}
	w := attach(t, site, "entry-1", "")
	w.eventually("the instance is ready", w.instance.Ready)
	time.Sleep(time.Second) // a block takes effect within this time
	assertResult(t, w.send(q), 200, "")
}
