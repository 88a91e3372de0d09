package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/stand"
)

const (
	// bodyBytes is the size of the bodies, at most the maxBodyBytes of the configuration.
	bodyBytes = 24 << 20
	bodyTime  = 60 * time.Second
	// bodyPause is the time between two bodies at a front.
	bodyPause = 4 * time.Second
)

// playBody sends bodies of legal size to the route of batch submissions, whose items are no objects.
func playBody(r *rig, trouble bool) (broken []string, err error) {
	r.config.Pools = map[string]quetzalpier.Pool{"lm-a": {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{modelName}}}
	if _, err := r.addWorker(stand.WorkerOptions{
		ID: "i-lm-0", Pool: "lm-a", Domain: "hall-a", Slots: 8, Software: "1",
		Models: map[string]quetzalpier.Version{modelName: 1}, EventInterval: 50 * time.Millisecond, SwapDuration: 300 * time.Millisecond,
	}); err != nil {
		return nil, err
	}
	if err := r.configure(batchRoute("lm-a")); err != nil {
		return nil, err
	}
	fronts, _, err := r.addNodes("hall-a", "hall-b", "hall-c")
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	items := strings.Repeat(" ", bodyBytes)
	if trouble {
		items = strings.TrimSuffix(strings.Repeat("0,", bodyBytes/2), ",")
	}
	body := []byte(`{"step":0,"model":"` + modelName + `","minVersion":1,"targetGroups":1,"items":[` + items + `]}`)
	if len(body) > r.config.InputLimits.MaxBodyBytes {
		return nil, errors.New("the body is larger than the limit")
	}
	done := make(chan struct{})
	defer close(done)
	for _, n := range fronts {
		go func() {
			for i := 0; ; i++ {
				got := call(http.MethodPost, n.Front, fmt.Sprintf("%s%s-%d", batchPrefix, n.Name, i), fmt.Sprintf("%s-%d", n.Name, i), map[string]string{"Content-Type": "application/json"}, body)
				r.note("body of %d bytes at %s: status %d, error %v", len(body), n.Name, got.Status, got.Err)
				select {
				case <-done:
					return
				case <-time.After(bodyPause):
				}
			}
		}()
	}
	return r.watchMemory(bodyTime)
}
