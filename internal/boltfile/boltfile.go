// Package boltfile opens small stores that survive a kill at any point, in the
// form of bbolt. One that is damaged is set aside, never served from and never lost.
package boltfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Open opens the store at a path, mode 0600, with its buckets; read must be able
// to read all that it needs of it. One that is damaged is set aside, and aside is
// its new name: a new one takes its place.
func Open(path string, buckets [][]byte, read func(*bbolt.DB) error) (db *bbolt.DB, aside string, err error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, "", err
	}
	db, err = openChecked(path, buckets, read)
	if err == nil || errors.Is(err, bolterrors.ErrTimeout) {
		return db, "", err
	}
	var perr *os.PathError
	if errors.As(err, &perr) {
		return nil, "", err
	}
	aside = fmt.Sprintf("%s.damaged-%s", path, time.Now().UTC().Format("20060102T150405.000000"))
	if rerr := os.Rename(path, aside); rerr != nil {
		return nil, "", errors.Join(err, rerr)
	}
	db, err = openChecked(path, buckets, read)
	return db, aside, err
}

func openChecked(path string, buckets [][]byte, read func(*bbolt.DB) error) (db *bbolt.DB, err error) {
	if err := checkComplete(path); err != nil {
		return nil, err
	}
	// Pages that point nowhere make the library panic, and beyond the file's end
	// they fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("damaged: %v", p)
		}
		if err != nil && db != nil {
			db.Close()
			db = nil
		}
	}()
	if db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second}); err != nil {
		return nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range buckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		for err := range tx.Check() {
			return fmt.Errorf("damaged: %w", err)
		}
		return nil
	})
	if err == nil {
		if err = read(db); err != nil {
			err = fmt.Errorf("damaged: %w", err)
		}
	}
	return db, err
}

// The head of a store, as the library lays it out: two pages of which the one with
// the higher transaction counts, each with a header of 16 bytes before it.
const (
	metaMagic       = 0xED0CDAED
	headerSize      = 16
	pageSizeOffset  = headerSize + 8
	pageCountOffset = headerSize + 40
	metaSize        = headerSize + 64
	maxPageSize     = 64 << 10
)

// checkComplete tells why a file is shorter than its head says: the library would map it
// whole and fault at what is missing.
func checkComplete(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return nil // the library makes a new one of it
	}
	var head [metaSize]byte
	if _, err := f.ReadAt(head[:], 0); err != nil && err != io.EOF {
		return err
	}
	size := int64(binary.LittleEndian.Uint32(head[pageSizeOffset:]))
	if binary.LittleEndian.Uint32(head[headerSize:]) != metaMagic || size < 512 || size > maxPageSize {
		return nil // the other head may do, or the library tells
	}
	highest := binary.LittleEndian.Uint64(head[pageCountOffset:])
	if _, err := f.ReadAt(head[:], size); err == nil && binary.LittleEndian.Uint32(head[headerSize:]) == metaMagic {
		highest = max(highest, binary.LittleEndian.Uint64(head[pageCountOffset:]))
	}
	if highest > 1<<40 || info.Size() < int64(highest)*size {
		return fmt.Errorf("damaged: %d bytes, its head tells of %d pages of %d", info.Size(), highest, size)
	}
	return nil
}
