// Package quetzalpier defines the domain types, the error types and the
// interfaces of the rollout service. The subpackages implement them; this
// package does no I/O.
package quetzalpier
