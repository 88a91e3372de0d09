package stand

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
)

// handleOrder executes an order to change the weight version. It answers when the
// swap is done.
func (e *Engine) handleOrder(c *fasthttp.RequestCtx) {
	var order quetzalpier.Order
	if err := json.Unmarshal(c.PostBody(), &order); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !e.acceptOrder(order) {
		body, _ := json.Marshal(e.currentState())
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
		c.SetBody(body)
		return
	}
	if !e.swapWeights(order.Version) {
		c.Error("weights could not be loaded", fasthttp.StatusBadGateway)
	}
}

func (e *Engine) acceptOrder(order quetzalpier.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence && order.Fence < e.state.Fence {
		return false
	}
	e.state.Fence = max(e.state.Fence, order.Fence)
	e.state.Loading = order.Version
	e.acceptedOrders = append(e.acceptedOrders, order)
	return true
}

// swapWeights changes the weight version and reports whether that succeeded. The
// running sequences pause and continue with the new version. A failed swap leaves
// the old version in place.
func (e *Engine) swapWeights(version quetzalpier.Version) bool {
	fetched := e.fetchWeights(version)
	time.Sleep(e.opts.SwapDuration)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Loading = 0
	e.wakeRunner()
	if e.faults.FailSwaps > 0 {
		e.faults.FailSwaps--
		return false
	}
	if !fetched {
		return false
	}
	e.reportedVersion = version
	if !e.faults.FalseSuccess {
		e.batch.Version = version
	}
	return true
}

func (e *Engine) fetchWeights(version quetzalpier.Version) bool {
	if e.opts.WeightsAddr == "" {
		return true
	}
	status, _, err := fasthttp.GetTimeout(nil, "http://"+e.opts.WeightsAddr+"/weights?version="+strconv.FormatUint(uint64(version), 10), 30*time.Second)
	return err == nil && status == fasthttp.StatusOK
}
