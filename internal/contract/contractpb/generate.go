// Package contractpb contains the protobuf messages of contracts and balances, as used in
// captures, in the store of balances, and in the resources of a streamed configuration.
package contractpb

//go:generate protoc -I . --go_out=../../.. --go_opt=module=archknot contract.proto
