// Package quetzalpier holds the domain types, the error types and the
// interfaces of the rollout service. It does no I/O; the packages below it hold
// the implementations.
package quetzalpier
