// Package peerpb contains the protobuf messages of the datagrams between gateways.
package peerpb

//go:generate protoc -I . --go_out=../../.. --go_opt=module=archknot peer.proto
