package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/third/rig"
)

const (
	// recoverTime is recoverS of the small deployments.
	recoverTime = 12 * time.Second
	// wipedAway is how long the machine that loses its disk is away.
	wipedAway = time.Second
	// The batch submission has largeItems items, and about largeBytes; 32 MiB are allowed.
	largeItems = 500
	largeBytes = 8 << 20
)

// playRetire asks for the store machine to be emptied that processes the batch submissions, just
// before the platform's store is down for a while. A batch submission is accepted in the outage. Once
// the machine has reported that it is empty, it is removed, and another one loses its disk.
func playRetire(record string, trouble bool) (string, error) {
	r, err := openRollout(record)
	if err != nil {
		return "", err
	}
	defer r.Close()
	retired := r.Stores[0]
	for _, n := range r.Stores {
		if strings.HasPrefix(r.Value("sys/own/lm"), n.Name+" ") {
			retired = n
		}
	}
	begin := time.Now()
	if trouble {
		if err := r.Write(quetzalpier.Write{Key: platform.PrefixRetire + retired.Name, Value: []byte(`{"overS":10}`)}, nil); err != nil {
			return "", err
		}
		r.SetStore(true)
		r.Note("the operator has %s emptied, and the platform's store refuses all calls", retired.Name)
	}
	time.Sleep(2 * time.Second)
	if err := submitLarge(r); err != nil {
		return "", err
	}
	time.Sleep(time.Until(begin.Add(outage)))
	if trouble {
		r.SetStore(false)
		r.Note("the platform's store serves all calls")
		if err := removeRetired(r, retired); err != nil {
			return "", err
		}
	}
	time.Sleep(recoverTime)
	status, text := 0, ""
	for i := 0; i < 20; i++ {
		front := r.Fronts[i%len(r.Fronts)]
		status, text = readLot(front)
		r.Note("client reads %s at %s and gets %d %.100s", lotID, front.Name, status, text)
		if status == http.StatusOK {
			return "", nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Sprintf("LOST: an accepted batch submission can't be read at the end: %d %s", status, text), nil
}

// removeRetired removes a store machine with its disk once it has reported that it is empty. Then
// another one loses its disk, if there is one that the batch submission is only on.
func removeRetired(r *rig.Rig, retired *rig.Node) error {
	status := "status/retire/" + retired.Name
	for end := time.Now().Add(20 * time.Second); !strings.Contains(r.Value(status), "done"); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s did not report that it is empty", retired.Name)
		}
	}
	retired.Kill()
	r.Note("%s has reported that it is empty, and is removed", retired.Name)
	others := r.Stores[:0:0]
	for _, n := range r.Stores {
		if n != retired {
			others = append(others, n)
		}
	}
	lost := others[0]
	for _, n := range others {
		if files, _ := filepath.Glob(filepath.Join(n.Data, "*.job")); len(files) > 0 {
			lost = n
		}
	}
	lost.Kill()
	if err := lost.Wipe(); err != nil {
		return err
	}
	r.Note("%s loses its disk", lost.Name)
	time.Sleep(wipedAway)
	r.Note("%s is back with an empty disk", lost.Name)
	return lost.Start()
}

// submitLarge submits a large batch submission at each front in turn until one accepts it.
func submitLarge(r *rig.Rig) error {
	var items []string
	prompt := base64.StdEncoding.EncodeToString(make([]byte, largeBytes/largeItems*3/4-200))
	for i := range largeItems {
		items = append(items, fmt.Sprintf(`{"id":"%s%04d","path":"/roll/%d","headers":{"%s":"m0"},"body":%q,"tokens":10,"group":"g%d"}`, lotID, i, i, platform.HeaderModel, prompt, i/8))
	}
	body := lotHead + strings.Join(items, ",") + "]}"
	for i := range 6 {
		front := r.Fronts[i%len(r.Fronts)]
		status, text := callWith(front, http.MethodPost, "/roll/"+lotID, lotID, body, 10*time.Second)
		r.Note("client submits %s with %d bytes to %s and gets %d %.100s", lotID, len(body), front.Name, status, text)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no front accepted the batch submission")
}
