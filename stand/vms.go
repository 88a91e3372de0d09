package stand

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
)

// VMs is the stand-in for the platform's list of VMs, which shows changes late.
type VMs struct {
	*Server
	// Lag is the delay until the list shows a change.
	Lag time.Duration

	mu    sync.Mutex
	lists []timedList
	reads uint64
}

type timedList struct {
	list      quetzalpier.VMList
	visibleAt time.Time
}

// NewVMs starts the service on addr with the given VMs, which it lists at once.
func NewVMs(addr string, lag time.Duration, vms []quetzalpier.VM) (*VMs, error) {
	v := &VMs{Lag: lag, lists: []timedList{{list: quetzalpier.VMList{Number: 1, VMs: vms}}}}
	server, err := Serve(addr, 0, v.handle)
	if err != nil {
		return nil, err
	}
	v.Server = server
	return v, nil
}

// SetState sets the state of a VM. The list shows the change after Lag.
func (v *VMs) SetState(id, state string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	last := v.lists[len(v.lists)-1].list
	next := quetzalpier.VMList{Number: last.Number + 1, VMs: append([]quetzalpier.VM(nil), last.VMs...)}
	for i := range next.VMs {
		if next.VMs[i].ID == id {
			next.VMs[i].State = state
		}
	}
	v.lists = append(v.lists, timedList{next, now.Add(v.Lag)})
}

// ReadCount returns the number of reads of the list.
func (v *VMs) ReadCount() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reads
}

func (v *VMs) handle(c *fasthttp.RequestCtx) {
	if c.IsPost() {
		v.SetState(string(c.QueryArgs().Peek("id")), string(c.QueryArgs().Peek("state")), time.Now())
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reads++
	now := time.Now()
	for len(v.lists) > 1 && !now.Before(v.lists[1].visibleAt) {
		v.lists = v.lists[1:]
	}
	body, _ := json.Marshal(v.lists[0].list)
	c.SetBody(body)
}
