// Archknot is a gateway in front of language-model replicas, with the commands to operate and test it.
// Without a command it serves; NODE_CONFIG names its configuration.
package main

import "archknot/internal/cli"

func main() { cli.Exec() }
