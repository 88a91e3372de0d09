// Package proof holds no code. Its tests prove what must always hold, with
// whole nodes, sockets and processes, where a fault lives there.
package proof
