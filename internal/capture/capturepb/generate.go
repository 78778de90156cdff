// Package capturepb has the messages of captures.
package capturepb

//go:generate protoc -I . --go_out=../../.. --go_opt=module=archknot capture.proto
