// Archknot is a gateway on real sockets. NODE_CONFIG names its configuration.
package main

import (
	"log"
	"os"

	"archknot/internal/lifecycle"
)

func main() {
	log.SetFlags(log.Ldate | log.Ltime | log.Lmicroseconds | log.LUTC)
	if err := lifecycle.Run(os.Getenv); err != nil {
		log.Fatalf("msg=failed err=%q", err)
	}
}
