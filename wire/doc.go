// Package wire defines the messages between nodes and the encodings of jobs and
// results in the key-value service.
package wire
