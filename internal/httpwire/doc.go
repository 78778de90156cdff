// Package httpwire parses and formats the messages of the gateway's HTTP protocols: the headers of a client's
// request, the head, body and load report of a replica's response, and discovery's endpoint list. It opens no
// connections and makes no decisions.
package httpwire
