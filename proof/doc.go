// Package proof contains only tests. They check the guarantees of the service
// end to end, with complete nodes, sockets and processes, where the tests of a
// single package cannot show a fault.
package proof
