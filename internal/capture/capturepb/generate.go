// Package capturepb contains the protobuf messages that captures are made of.
package capturepb

//go:generate protoc -I . --go_out=../../.. --go_opt=module=archknot capture.proto
