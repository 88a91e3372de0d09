package stand

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
)

// handleOrder takes an order to change the weights and answers when it is done.
func (e *Engine) handleOrder(c *fasthttp.RequestCtx) {
	var order quetzalpier.Order
	if err := json.Unmarshal(c.PostBody(), &order); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !e.accept(order) {
		body, _ := json.Marshal(e.currentState())
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
		c.SetBody(body)
		return
	}
	if !e.load(order.Version) {
		c.Error("weights could not be loaded", fasthttp.StatusBadGateway)
	}
}

func (e *Engine) accept(order quetzalpier.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fenced && order.Fence < e.state.Fence {
		return false
	}
	e.state.Fence = max(e.state.Fence, order.Fence)
	e.state.Loading = order.Version
	e.obeyed = append(e.obeyed, order)
	return true
}

// load swaps the weights; the running sequences pause and go on under the new
// version. A swap that fails leaves the old version in place.
func (e *Engine) load(version quetzalpier.Version) bool {
	fetched := e.fetch(version)
	time.Sleep(e.opts.Swap)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Loading = 0
	e.signal()
	if e.faults.FailSwaps > 0 {
		e.faults.FailSwaps--
		return false
	}
	if !fetched {
		return false
	}
	e.claimed = version
	if !e.faults.Lie {
		e.batch.Version = version
	}
	return true
}

func (e *Engine) fetch(version quetzalpier.Version) bool {
	if e.opts.Weights == "" {
		return true
	}
	status, _, err := fasthttp.GetTimeout(nil, "http://"+e.opts.Weights+"/weights?version="+strconv.FormatUint(uint64(version), 10), 30*time.Second)
	return err == nil && status == fasthttp.StatusOK
}
