package soak

import (
	"context"
	"net/http"
	"strings"
	"time"

	"quetzalpier/platform"
	"quetzalpier/sleep"
)

const (
	// maxCrowdPause is the longest pause between two crowds, and maxCrowdStay how long the clients
	// of one keep their connections at most.
	maxCrowdPause = time.Second
	maxCrowdStay  = 4 * time.Second
	// crowdBytes is what the clients of a crowd send together at most, and maxCrowdClients their
	// largest number.
	crowdBytes      = 512 << 20
	maxCrowdClients = 1200
)

// crowdRequests are requests that never become whole, so that none reaches an upstream.
var crowdRequests = []BadRequest{
	{Method: http.MethodPost, Path: viewPath + "crowd", Length: 32 << 20, Sent: 32<<20 - 1},
	{Method: http.MethodPost, Path: streamPath + "crowd", Length: 32 << 20, Sent: 32<<20 - 1},
	{Method: http.MethodPost, Path: batchPath + "crowd", Length: 32 << 20, Sent: 32<<20 - 1},
	{Method: http.MethodPost, Path: viewPath + "crowd", Length: -1, Chunk: 1 << 20, Sent: 32 << 20},
	{Method: http.MethodPost, Path: viewPath + "crowd", Length: -1, Chunk: 1, Sent: 256 << 10},
	{Method: http.MethodPost, Path: viewPath + "crowd", Length: -1, Chunk: 1 << 20, Sent: -1},
	{Method: http.MethodPost, Path: viewPath + "crowd", Length: 10 << 30, Sent: 64 << 20},
	{Method: http.MethodPost, Path: "/none/crowd", Length: 32 << 20, Sent: 32<<20 - 1},
	{Method: http.MethodPost, Path: viewPath + "crowd", Length: 256 << 10, Sent: 256<<10 - 1},
	{Method: http.MethodPost, Path: viewPath + "crowd", Length: 1 << 20, Sent: 16},
	{Method: http.MethodPost, Path: viewPath + "crowd", Unfinished: true, Head: "X-Fill: " + strings.Repeat("x", 15<<10)},
	{Silent: true},
}

// sendCrowds sends crowds of clients that do not keep to the limits to the ports of random fronts.
// They come in series and overlap.
func (f *faultInjector) sendCrowds(ctx context.Context, duration time.Duration) {
	var crowds []*Crowd
	defer func() {
		for _, crowd := range crowds {
			crowd.Close()
		}
	}()
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		front := f.rig.Fronts[f.rnd.IntN(len(f.rig.Fronts))].Settings
		request := crowdRequests[f.rnd.IntN(len(crowdRequests))]
		request.Addr = front.Front
		switch f.rnd.IntN(5) {
		case 0:
			request.Addr, request.Path = front.Ready, platform.PathReady
		case 1:
			request.Addr, request.Path = front.Lookup, platform.PathLookup
		}
		count := min(maxCrowdClients, crowdBytes/max(1, request.Sent, 64<<10))
		if request.Sent < 0 {
			count = crowdBytes / (32 << 20)
		}
		f.log.Info().Str("node", front.Name).Str("addr", request.Addr).Str("path", request.Path).Int("length", request.Length).Int("sent", request.Sent).Int("chunk", request.Chunk).Int("clients", count).Msg("crowd")
		stay, stop := context.WithTimeout(ctx, time.Duration(f.rnd.Int64N(int64(maxCrowdStay))))
		defer stop()
		crowds = append(crowds, StartCrowd(stay, request, count))
		f.ledger.recordCrowd(count)
		sleep.For(ctx, time.Duration(f.rnd.Int64N(int64(maxCrowdPause))))
	}
}

func (l *Ledger) recordCrowd(clients int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.CrowdClients += clients
}

// recordPeaks records the largest part of its memory that a node used, and checks the descriptors.
func (l *Ledger) recordPeaks(r *Rig, peaks map[string]Usage) {
	for _, n := range r.nodes() {
		peak, settings := peaks[n.Settings.Name], n.Settings
		if peak.Memory > settings.MemoryMiB<<20 {
			l.recordViolation("%s used %d MiB of memory, more than %d", settings.Name, peak.Memory>>20, settings.MemoryMiB)
		}
		if peak.Files > settings.Files-reservedFiles {
			l.recordViolation("%s had %d open files, more than %d", settings.Name, peak.Files, settings.Files-reservedFiles)
		}
		l.mu.Lock()
		l.PeakMemory = max(l.PeakMemory, float64(peak.Memory)/float64(settings.MemoryMiB<<20))
		l.mu.Unlock()
	}
}

// reservedFiles are the descriptors that the platform keeps for itself.
const reservedFiles = 200
