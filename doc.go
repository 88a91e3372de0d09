// Package quetzalpier holds the domain types, the error types and the
// interfaces of the rollout service. Implementations live in the packages
// below it; this package does no input or output.
package quetzalpier
