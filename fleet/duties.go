package fleet

import (
	"context"
	"time"

	"quetzalpier/duty"
	"quetzalpier/platform"
	"quetzalpier/setup"
	"quetzalpier/sizing"
	"quetzalpier/usage"
	"quetzalpier/wire"
)

// duties are the components for the platform's duties. All are nil if the settings name no
// duty; recorder is nil on nodes that are no fronts, and both it and reporter without the
// duty of metering, orderer without that of ordering upstreams.
type duties struct {
	cloud    *platform.Cloud
	holder   *duty.Holder
	recorder *usage.Recorder
	reporter *usage.Reporter
	orderer  *sizing.Orderer
}

// openDuties creates the components for the duties that the settings name.
func (n *Node) openDuties(now time.Time) {
	settings := n.Settings.Duty
	metering := settings.Has(setup.DutyMetering) && settings.Window > 0 && settings.Late > 0
	if !metering && !settings.Has(setup.DutyAutoscale) {
		return
	}
	holder := duty.NewHolder(n.Settings.Name, n.Settings.OrderInterval.D(), now)
	holder.Board, holder.KV, holder.Lease, holder.Meter, holder.Log = n.Board, n.kv, n.lease, n.Meter, n.Log
	cloud := platform.NewCloud(settings.Addr)
	cloud.Fenced, cloud.Valid = n.Settings.FencingEnforced, holder.Valid
	n.duties.holder, n.duties.cloud = holder, cloud
	if settings.Has(setup.DutyAutoscale) {
		n.duties.orderer = &sizing.Orderer{Turns: holder, Duties: cloud, Look: n.replicaPools, Meter: n.Meter, Log: n.Log}
	}
	if !metering {
		return
	}
	reporter := usage.NewReporter(now)
	reporter.Node, reporter.Schedule = n.Settings.Name, usage.Schedule{Window: settings.Window.D(), Late: settings.Late.D()}
	reporter.Board, reporter.Holder, reporter.KV, reporter.Duties, reporter.Meter, reporter.Log = n.Board, holder, n.kv, cloud, n.Meter, n.Log
	n.duties.reporter = reporter
	if n.Settings.Front == "" {
		return
	}
	recorder := usage.NewRecorder(n.Settings.Name, now)
	recorder.Board, recorder.Meter, recorder.Log = n.Board, n.Meter, n.Log
	recorder.Call, recorder.Local = n.callPeer, reporter.Receive
	n.duties.recorder = recorder
}

// runDuties runs the components for the duties until ctx ends.
func (n *Node) runDuties(ctx context.Context) {
	if n.duties.holder != nil {
		n.background.Go(func() { n.duties.holder.Run(ctx) })
	}
	if n.duties.reporter != nil {
		n.background.Go(func() { n.duties.reporter.Run(ctx) })
	}
	if n.duties.recorder != nil {
		n.background.Go(func() { n.duties.recorder.Run(ctx) })
	}
	if n.duties.orderer != nil {
		n.background.Go(func() { n.duties.orderer.Run(ctx) })
	}
}

// closeDuties closes the connections to the platform.
func (n *Node) closeDuties() {
	if n.duties.cloud != nil {
		n.duties.cloud.Close()
	}
}

// receiveUsage handles the runs that a front sends.
func (n *Node) receiveUsage(message *wire.Usage, now time.Time) *wire.Reply {
	counted := &wire.Counted{}
	if n.duties.reporter != nil {
		counted = n.duties.reporter.Receive(message, now)
	}
	return &wire.Reply{Kind: &wire.Reply_Counted{Counted: counted}}
}
