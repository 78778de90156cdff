// Package control is the gateway's socket for orders of operators on its own
// machine: HTTP over a Unix socket that only the gateway's user may open. Every
// order and answer is one small JSON object.
package controlsocket

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	maxRequestBytes  = 64 << 10
	maxResponseBytes = 16 << 20
	maxConcurrent    = 8
	commandTimeout   = 30 * time.Second
)

// Handler carries out one kind of order. The answer is put into JSON.
type Handler func(ctx context.Context, order json.RawMessage) (answer any, err error)

// Server listens for orders until Close.
type Server struct {
	http     *http.Server
	listener net.Listener
	slots    chan struct{}
}

// Listen opens the socket with mode 0600 and serves orders by name. A socket
// that a dead gateway left behind is replaced; one that answers is not.
func Listen(path string, orders map[string]Handler) (*Server, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("control.socket: %s: another gateway listens there", path)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		if info, serr := os.Lstat(path); serr == nil && info.Mode()&fs.ModeSocket != 0 {
			os.Remove(path)
		}
	}
	old := syscall.Umask(0o177)
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("control.socket: %w", err)
	}
	s := &Server{listener: l, slots: make(chan struct{}, maxConcurrent)}
	mux := http.NewServeMux()
	for name, h := range orders {
		mux.HandleFunc("POST /"+name, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, h) })
	}
	s.http = &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: commandTimeout + 5*time.Second, MaxHeaderBytes: 8 << 10}
	s.http.SetKeepAlivesEnabled(false)
	go s.http.Serve(l)
	return s, nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, h Handler) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		http.Error(w, "too many orders at once", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), commandTimeout)
	defer stop()
	answer, err := h(ctx, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// Close ends the server and takes the socket away.
func (s *Server) Close() error {
	err := s.http.Close()
	s.listener.Close() // also where it has not begun to serve
	return err
}

// Call gives one order to the gateway behind a socket. An error of type Refused
// is the gateway's own.
func Call(ctx context.Context, socket, name string, order, answer any) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: commandTimeout + 5*time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		}}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://gateway/"+name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return CommandError(bytes.TrimSpace(text))
	}
	return json.Unmarshal(text, answer)
}

// CommandError is a gateway's reason for not carrying out an order.
type CommandError string

func (r CommandError) Error() string { return string(r) }
