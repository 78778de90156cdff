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
	// maxConcurrentCommands bounds the commands that run at once; further commands are rejected.
	maxConcurrentCommands = 8
	// commandTimeout bounds the execution of a command.
	commandTimeout = 30 * time.Second
	// transferTimeout bounds the time to read a request, and that to write a response.
	transferTimeout = 5 * time.Second
	// probeTimeout bounds the attempt to connect to an existing socket, which shows whether it is stale.
	probeTimeout = time.Second
	// socketUmask gives the socket mode 0600.
	socketUmask = 0o177
)

// ErrInUse is returned by Listen if another gateway listens on the socket.
var ErrInUse = errors.New("another gateway listens on this socket")

// Handler executes one kind of command. Its response is sent as JSON, or its error as text. Handlers may
// run concurrently, and should return when the context ends.
type Handler func(ctx context.Context, request json.RawMessage) (response any, err error)

// Server serves commands until Close.
type Server struct {
	http     *http.Server
	listener net.Listener
	slots    chan struct{} // holds one token per running command
}

// Listen opens the socket with mode 0600 and serves each handler under its name. It replaces the stale socket
// of a process that has ended, and fails if a process still listens on the socket.
func Listen(path string, handlers map[string]Handler) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	listener, err := listenPrivate(path)
	if err != nil {
		return nil, fmt.Errorf("control.socket: %w", err)
	}
	s := &Server{listener: listener, slots: make(chan struct{}, maxConcurrentCommands)}
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
	go func() { _ = s.http.Serve(listener) }() // returns after Close; clients notice a failed socket themselves
	return s, nil
}

// removeStaleSocket removes a socket file on which no process listens, and returns an error if one does.
// It keeps files of other types.
func removeStaleSocket(path string) error {
	conn, err := net.DialTimeout("unix", path, probeTimeout)
	if err == nil {
		conn.Close()
		return fmt.Errorf("control.socket: %s: %w", path, ErrInUse)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nil // usually no such file; otherwise Listen fails and returns the cause
	}
	info, err := os.Lstat(path)
	if err == nil && info.Mode()&fs.ModeSocket != 0 {
		os.Remove(path)
	}
	return nil
}

// listenPrivate listens on a socket that only the current user may open. It changes the umask of the whole
// process while it creates the socket.
func listenPrivate(path string) (net.Listener, error) {
	previous := syscall.Umask(socketUmask)
	defer syscall.Umask(previous)
	return net.Listen("unix", path)
}

// serve executes one command.
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
	_ = json.NewEncoder(w).Encode(response) // the client detects an incomplete response
}

// Close stops the server and removes the socket. It closes the connections of running commands.
func (s *Server) Close() error {
	err := s.http.Close()
	s.listener.Close() // needed if Serve has not started yet
	return err
}
