package lifecycle

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// If the platform passes on the clients' socket as a file descriptor, the gateway accepts on it. Binding the
// address again would fail, because it is in use.
func TestInheritedListener(t *testing.T) {
	platformListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platformListener.Close()
	file, err := platformListener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	c, err := loadText(t, strings.Replace(validConfig, `"listen":"127.0.0.1:0"`, `"listen":"`+platformListener.Addr().String()+`"`, 1),
		map[string]string{"NODE_SOCKET_FD": fmt.Sprint(file.Fd())})
	if err != nil {
		t.Fatal(err)
	}
	l, err := openClientListener(c)
	if err != nil {
		t.Fatalf("the inherited socket was not used: %v", err)
	}
	defer l.Close()
	go func() {
		if conn, err := net.Dial("tcp", platformListener.Addr().String()); err == nil {
			conn.Close()
		}
	}()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	for _, invalid := range []string{"x", "2", "-1"} {
		if _, err := loadText(t, validConfig, map[string]string{"NODE_SOCKET_FD": invalid}); err == nil || !strings.Contains(err.Error(), "NODE_SOCKET_FD") {
			t.Errorf("%q: got %v", invalid, err)
		}
	}
}
