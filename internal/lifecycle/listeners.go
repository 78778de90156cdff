package lifecycle

import (
	"fmt"
	"net"
	"os"

	"archknot/internal/controlsocket"
	"archknot/internal/metrics"
)

// listen opens the control socket, the metrics address and the clients' listener, which it returns.
func (s *server) listen() (net.Listener, error) {
	if err := s.openOrTakeOver(controlListener, s.listenControl); err != nil {
		return nil, err
	}
	if err := s.openOrTakeOver(metricsListener, s.listenMetrics); err != nil {
		return nil, err
	}
	var listener net.Listener
	err := retryTransient(func() (err error) {
		listener, err = openClientListener(s.config)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// openClientListener opens the clients' listener, or uses the listening socket that the platform passes on. In
// that case the platform owns the address, and all processes of the gateway accept on the same socket.
func openClientListener(c Config) (net.Listener, error) {
	if c.ListenFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	file := os.NewFile(uintptr(c.ListenFD), "NODE_SOCKET_FD")
	if file == nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: descriptor %d is not open", c.ListenFD)
	}
	defer file.Close() // the listener uses a duplicate of the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: descriptor %d: %w", c.ListenFD, err)
	}
	return listener, nil
}

// listenMetrics serves the metrics, if the settings have an address for them.
func (s *server) listenMetrics() (err error) {
	s.metricsServer = nil
	if m := s.fileSettings.Metrics; m.Listen != "" {
		s.metricsServer, err = metrics.Listen(m.Listen, m.MaxTeams, s.gateway)
	}
	return err
}

// listenControl serves the commands on the control socket, if the settings have one.
func (s *server) listenControl() (err error) {
	if s.fileSettings.Control.Socket == "" {
		return nil
	}
	s.controlSocket, err = controlsocket.Listen(s.fileSettings.Control.Socket, s.commands())
	return err
}
