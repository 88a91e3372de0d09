package intake

const (
	mib = 1 << 20

	// restBytes is what a process holds without clients. heapPercent and connPercent are the parts
	// of the memory for the heap and for the connections, and reservePercent the one for small
	// bodies only.
	restBytes      = 24 * mib
	bodyPercent    = 54
	connPercent    = 20
	reservePercent = 6
	copyPercent    = 5
	resultPercent  = 2
	// minBodyBytes is the room for bodies in the smallest process.
	minBodyBytes = 4 * mib
	// minCopies is the room for the copies of one of the largest values.
	minCopies = 5 * mib
	// minResults is the room for two answers with results.
	minResults = 2 * mib

	// ReceiveBuffer is how much the kernel receives for a connection before it is read.
	ReceiveBuffer = 32 << 10
	// stackBytes is what a connection needs besides.
	stackBytes = 20 << 10

	// platformFiles are the descriptors that the platform keeps for itself.
	platformFiles = 200
	// minPlaces is the least number of connections to a port.
	minPlaces = 16
	// minQueue is the least number of connections that the kernel accepts ahead for clients: as many
	// may come at a time.
	minQueue = 64
)

// Port bounds the connections to a port.
type Port struct {
	// Places is the number of connections, and Queue that of those that the kernel accepts ahead.
	Places, Queue int
}

// Budget is what a process may hold for its clients: bodies, and connections to each port. The
// metrics page has as many places as the platform's health checks.
type Budget struct {
	Bodies               Limits
	Front, Lookup, Ready Port
	// HeadBytes is the size of the buffer that each connection has for the heads of requests.
	HeadBytes int
	// Copies is the memory for the copies of jobs on their way to the key-value service, and as much
	// again for those on their way back, in bytes.
	Copies int
	// Results is the memory for results of jobs that were read, in bytes.
	Results int
}

// newPort returns the bounds of a port. While the process is paused, the kernel receives for those
// that it accepts ahead as well.
func newPort(places, queue int) Port {
	places = max(minPlaces, places)
	return Port{Places: places, Queue: max(queue, places/2)}
}

// NewBudget divides the memory and the descriptors of a process; memory and headBytes are in
// bytes. A half of the descriptors is left for upstreams, other nodes and the key-value service.
func NewBudget(memory, files, headBytes int) Budget {
	places := min(memory/100*connPercent/(headBytes+ReceiveBuffer+stackBytes), (files-platformFiles)/2)
	return Budget{
		HeadBytes: headBytes,
		Copies:    max(minCopies, memory/100*copyPercent),
		Results:   max(minResults, memory/100*resultPercent),
		Bodies: Limits{
			Bytes: max(minBodyBytes, memory/100*bodyPercent-restBytes), Reserve: memory / 100 * reservePercent, Small: SmallBody,
		},
		Front:  newPort(places*3/4, minQueue),
		Lookup: newPort(places/8, minQueue),
		Ready:  newPort(places/32, minPlaces),
	}
}
