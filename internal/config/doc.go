// Package config parses and validates archknot's own settings files, the plans of
// experiments and the plans of scale runs, and applies their defaults. All are files of
// `key value` lines in sections. Package lifecycle reads the platform's configuration
// of a gateway (NODE_CONFIG).
//
// A file may include others. All errors of a file are collected and returned
// together as SettingErrors, each with its file, line, column and key.
package config
