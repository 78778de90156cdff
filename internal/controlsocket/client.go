package controlsocket

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
)

// CommandError is the gateway's reason for rejecting or failing a command.
type CommandError string

// Error returns the reason as the gateway sent it.
func (e CommandError) Error() string { return string(e) }

// Call sends one command to the gateway that listens on a socket, and decodes the response into response. A
// CommandError means that the gateway answered and did not execute the command; after any other error it is
// unknown whether the command was executed.
func Call(ctx context.Context, socket, name string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://gateway/"+name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	httpResponse, err := newClient(socket).Do(httpRequest)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	content, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if httpResponse.StatusCode != http.StatusOK {
		return CommandError(bytes.TrimSpace(content))
	}
	return json.Unmarshal(content, response)
}

// newClient returns an HTTP client that connects to the socket and ignores the host of the URL.
func newClient(socket string) *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}
	return &http.Client{
		Timeout:   commandTimeout + transferTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial},
	}
}
