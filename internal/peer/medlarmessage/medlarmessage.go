// Package medlarmessage defines the messages between entry instances.
package medlarmessage

//go:generate protoc --go_out=. --go_opt=paths=source_relative message.proto

// MaxMessageBytes is the maximum size of an encoded message, in bytes.
const MaxMessageBytes = 8 << 20
