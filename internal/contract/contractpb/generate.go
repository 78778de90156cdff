// Package contractpb is the form of contracts and balances: in captures, in the
// store, and as resources of a streamed configuration.
package contractpb

//go:generate protoc -I . --go_out=../../.. --go_opt=module=archknot contract.proto
