package controlsocket

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
)

// CommandError is the reason that a gateway gave for not carrying out a command.
type CommandError string

// Error returns the reason.
func (e CommandError) Error() string { return string(e) }

// Call sends one command to the gateway behind a socket, and decodes the response into response. The
// error is a CommandError if the gateway answered and did not carry the command out; any other error
// leaves open whether it did.
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

// newClient returns an HTTP client that connects to the socket, whatever the host of the URL.
func newClient(socket string) *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}
	return &http.Client{
		Timeout:   commandTimeout + transferTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial},
	}
}
