// Package httpwire implements the gateway's HTTP protocols as they are spoken on connections: the headers of a
// client's request, the head, body and load report of a replica's response, and discovery's endpoint list.
// It opens no connection and makes no decision.
package httpwire
