// Package lifecycle starts, reloads and stops the gateway. Only this package reads, validates and defaults the
// platform's configuration (NODE_CONFIG and the other NODE_ variables), and combines it with the settings
// file (package config) and with the versions that a control service streams (package configversion).
// SIGHUP reloads both files; SIGTERM and SIGINT drain the gateway and end the process.
package lifecycle
