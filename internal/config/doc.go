// Package config reads archknot's own settings, the plans of experiments and the
// plans of scale runs: lines of `key value` in sections. It is the one place where
// they are read, checked and given defaults. What the platform sets for a gateway
// (NODE_CONFIG) is read by package lifecycle.
//
// A file may include others. All errors of a file are collected and returned
// together as SettingErrors, each with its file, line, column and key.
package config
