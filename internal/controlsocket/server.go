package controlsocket

import (
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
	maxHeaderBytes   = 8 << 10
	maxResponseBytes = 16 << 20
	// maxConcurrent bounds the commands that are carried out at once; further ones are rejected.
	maxConcurrent = 8
	// commandTimeout bounds how long a command may take, and transferTimeout the time around it to read
	// the request or write the response.
	commandTimeout  = 30 * time.Second
	transferTimeout = 5 * time.Second
	// probeTimeout bounds the attempt to connect to an existing socket.
	probeTimeout = time.Second
	// socketUmask leaves the socket with mode 0600.
	socketUmask = 0o177
)

// Handler carries out one kind of command. The response is encoded as JSON; the text of an error is sent
// to the caller. Handlers may run concurrently, and should return when the context ends.
type Handler func(ctx context.Context, request json.RawMessage) (response any, err error)

// Server serves commands until Close.
type Server struct {
	http     *http.Server
	listener net.Listener
	slots    chan struct{} // has one token for each command that is being carried out
}

// Listen opens the socket with mode 0600 and serves the handlers by name. The stale socket of a process
// that has ended is replaced; a socket on which a process still listens is not.
func Listen(path string, handlers map[string]Handler) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	listener, err := listenPrivate(path)
	if err != nil {
		return nil, fmt.Errorf("control.socket: %w", err)
	}
	s := &Server{listener: listener, slots: make(chan struct{}, maxConcurrent)}
	mux := http.NewServeMux()
	for name, handler := range handlers {
		mux.HandleFunc("POST /"+name, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, handler) })
	}
	s.http = &http.Server{
		Handler:        mux,
		ReadTimeout:    transferTimeout,
		WriteTimeout:   commandTimeout + transferTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	s.http.SetKeepAlivesEnabled(false)
	go func() { _ = s.http.Serve(listener) }() // returns after Close; callers see a failing socket themselves
	return s, nil
}

// removeStaleSocket removes a socket file on which no process listens. It returns an error if one does.
// Files of other kinds are left alone.
func removeStaleSocket(path string) error {
	conn, err := net.DialTimeout("unix", path, probeTimeout)
	if err == nil {
		conn.Close()
		return fmt.Errorf("control.socket: %s: another gateway listens there", path)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nil // mostly no such file; otherwise the attempt to listen fails and reports why
	}
	info, err := os.Lstat(path)
	if err == nil && info.Mode()&fs.ModeSocket != 0 {
		os.Remove(path)
	}
	return nil
}

// listenPrivate listens on a socket that only the current user may open. The umask holds for the whole
// process while the socket is created.
func listenPrivate(path string) (net.Listener, error) {
	previous := syscall.Umask(socketUmask)
	defer syscall.Umask(previous)
	return net.Listen("unix", path)
}

// serve carries out one command.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, handler Handler) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		http.Error(w, "too many orders at once", http.StatusServiceUnavailable)
		return
	}
	request, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	response, err := handler(ctx, request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // the caller sees that the response is incomplete
}

// Close ends the server and removes the socket.
func (s *Server) Close() error {
	err := s.http.Close()
	s.listener.Close() // needed if Serve has not begun yet
	return err
}
