package rig

import (
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

// AddEngine starts a worker of a model, a stand-in of the project, and registers it.
func (r *Rig) AddEngine(id, pool, model string) (*stand.Worker, error) {
	w, err := stand.NewWorker("127.0.0.1:0", stand.WorkerOptions{
		ID: id, Pool: pool, Domain: "zone-a", Slots: 8, Models: map[string]quetzalpier.Version{model: 1},
		EventInterval: 20 * time.Millisecond, SwapDuration: 300 * time.Millisecond, Software: "v1", TagRuns: true,
	})
	if err != nil {
		return nil, err
	}
	r.engines = append(r.engines, w)
	return w, r.Write(platform.EncodeVM(w.VM()))
}
