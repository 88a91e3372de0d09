package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"time"

	"quetzalpier/platform"
)

const (
	// nullBytes is the size of a body; the configuration allows 32 MiB.
	nullBytes = 16 << 20
	// soundItems is the number of items of a sound batch submission of such a size.
	soundItems = 1000
	// submissions is how many are sent, with a pause after each.
	submissions   = 3
	betweenBodies = 5 * time.Second
	// A process is started again after restartDelay, and measured each measureTime.
	restartDelay = 500 * time.Millisecond
	measureTime  = 2 * time.Millisecond
	// The rule is broken if processes end so often on so many machines.
	endsOfMachine  = 3
	machinesToFail = 2
)

// playBodies has a client send batch submissions with bodies of legal size, each at one front after
// the other until it gets an answer. A process that uses more memory than its machine has is killed
// and started again, as the platform does.
func playBodies(record string, trouble bool) (string, error) {
	r, err := openRollout(record)
	if err != nil {
		return "", err
	}
	defer r.Close()
	limits := limitMemory(r)
	for i := range submissions {
		id := fmt.Sprintf("3b90c5d2e7f4a%03d", i)
		body := soundBody(id, nullBytes)
		if trouble {
			body = nullBody()
		}
		for _, front := range r.Fronts {
			r.Note("client sends batch submission %s of %d bytes to %s", id, len(body), front.Name)
			status, text := callWith(front, http.MethodPost, "/roll/"+id, id, body, 20*time.Second)
			r.Note("client gets %d %.120s", status, text)
			if status == http.StatusAccepted || status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge {
				break
			}
		}
		time.Sleep(betweenBodies)
	}
	return limits.verdict(), nil
}

const lotHead = `{"step":0,"model":"m0","minVersion":1,"targetGroups":8,"items":[`

// nullBody returns a batch submission whose items are no objects.
func nullBody() string {
	return lotHead + strings.Repeat("null,", (nullBytes-len(lotHead))/len("null,")-2) + "null]}"
}

// soundBody returns a sound batch submission of about that size.
func soundBody(id string, size int) string {
	var items []string
	body := base64.StdEncoding.EncodeToString(make([]byte, size/soundItems*3/4-200))
	for i := range soundItems {
		items = append(items, fmt.Sprintf(`{"id":"%s%04d","path":"/roll/%d","headers":{"%s":"m0"},"body":%q,"tokens":10,"group":"g%d"}`, id, i, i, platform.HeaderModel, body, i/8))
	}
	return lotHead + strings.Join(items, ",") + "]}"
}
