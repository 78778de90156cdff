// Package peerpb has the messages of gateways to each other.
package peerpb

//go:generate protoc -I . --go_out=../../.. --go_opt=module=archknot peer.proto
