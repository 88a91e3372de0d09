package stand

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
)

// VMs is the stand-in for the platform's lagging list of VMs.
type VMs struct {
	*Server
	// Lag is how long a change takes to show.
	Lag time.Duration

	mu      sync.Mutex
	history []listedVMs
	calls   uint64
}

type listedVMs struct {
	list quetzalpier.VMList
	from time.Time
}

// NewVMs starts the list on addr with the given entries, which show at once.
func NewVMs(addr string, lag time.Duration, vms []quetzalpier.VM) (*VMs, error) {
	v := &VMs{Lag: lag, history: []listedVMs{{list: quetzalpier.VMList{Number: 1, VMs: vms}}}}
	server, err := Serve(addr, 0, v.handle)
	if err != nil {
		return nil, err
	}
	v.Server = server
	return v, nil
}

// Mark changes one VM's state; the list shows it after the lag.
func (v *VMs) Mark(id, state string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	last := v.history[len(v.history)-1].list
	next := quetzalpier.VMList{Number: last.Number + 1, VMs: append([]quetzalpier.VM(nil), last.VMs...)}
	for i := range next.VMs {
		if next.VMs[i].ID == id {
			next.VMs[i].State = state
		}
	}
	v.history = append(v.history, listedVMs{next, now.Add(v.Lag)})
}

// Calls counts the readings of the list.
func (v *VMs) Calls() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

func (v *VMs) handle(c *fasthttp.RequestCtx) {
	if c.IsPost() {
		v.Mark(string(c.QueryArgs().Peek("id")), string(c.QueryArgs().Peek("state")), time.Now())
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	now := time.Now()
	for len(v.history) > 1 && !now.Before(v.history[1].from) {
		v.history = v.history[1:]
	}
	body, _ := json.Marshal(v.history[0].list)
	c.SetBody(body)
}
