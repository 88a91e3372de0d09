// Package wire holds the messages that nodes exchange and the forms in which
// jobs and results lie in the key-value service.
package wire
