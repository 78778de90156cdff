package lifecycle

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"archknot/internal/gateway"
)

// Run serves until SIGTERM or SIGINT has ended it in order.
func Run(getenv func(string) string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	c, err := Load(getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(c.Cores)
	debug.SetMemoryLimit(c.MemoryMB << 20)
	g, err := gateway.New(c.Gateway)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log.Printf("msg=start name=%s listen=%s discovery=%s cores=%d heap_mb=%d client_conns=%d worker_conns=%d",
		c.Gateway.Name, c.Listen, c.Gateway.Discovery, c.Cores, c.MemoryMB, c.Gateway.ClientConns, c.Gateway.WorkerConns)
	served := make(chan error, 1)
	go func() { served <- g.Serve(ctx, l) }()
	select {
	case err := <-served:
		return fmt.Errorf("listen: %w", err)
	case s := <-signals:
		log.Printf("msg=drain signal=%q", s)
	}
	if err := g.Drain(ctx); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	log.Printf("msg=stop")
	return nil
}
