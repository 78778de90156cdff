// Package lifecycle starts, reloads and stops the gateway. It is the one place where the platform's
// configuration (NODE_CONFIG and the other NODE_ variables) is read, checked and given defaults, and where
// it is combined with the settings file (package config) and with the versions that a control service
// streams (package configversion). SIGHUP reloads both files; SIGTERM and SIGINT drain the gateway and end it.
package lifecycle
