// Archknot is a gateway in front of language-model replicas, with commands to operate and test it.
// Without a command it runs the gateway with the configuration file that NODE_CONFIG names.
package main

import "archknot/internal/cli"

func main() { cli.Exec() }
