// Archknot is a gateway on real sockets, and the commands round it. The bare
// command serves; NODE_CONFIG names its configuration.
package main

import "archknot/internal/cli"

func main() { cli.Exec() }
