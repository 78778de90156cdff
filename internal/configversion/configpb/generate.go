// Package configpb defines the protocol buffer messages of a streamed configuration.
package configpb

//go:generate protoc -I . -I ../../contract/contractpb --go_out=../../.. --go_opt=module=archknot config.proto
