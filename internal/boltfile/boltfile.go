// Package boltfile opens small bbolt databases that survive a kill of the process at any
// point. A damaged database file is renamed, so that it is neither used nor lost.
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

// lockTimeout bounds how long Open waits for the file lock of another process.
const lockTimeout = time.Second

// damagedTimeLayout is the layout of the UTC time in the new name of a damaged database.
const damagedTimeLayout = "20060102T150405.000000"

// ErrDamaged is wrapped by the errors of a database whose content fails a check or cannot be read.
var ErrDamaged = errors.New("database damaged")

// Open opens the database at a path, with mode 0600, and creates missing buckets. The function
// read reads all that the caller needs; its error means that the database is damaged. A damaged
// database is renamed to damagedPath, and replaced by an empty one.
func Open(path string, buckets [][]byte, read func(*bbolt.DB) error) (db *bbolt.DB, damagedPath string, err error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, "", err
	}
	db, err = openChecked(path, buckets, read)
	if err == nil || errors.Is(err, bolterrors.ErrTimeout) {
		return db, "", err
	}
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return nil, "", err
	}
	damagedPath = fmt.Sprintf("%s.damaged-%s", path, time.Now().UTC().Format(damagedTimeLayout))
	if renameErr := os.Rename(path, damagedPath); renameErr != nil {
		return nil, "", errors.Join(err, renameErr)
	}
	db, err = openChecked(path, buckets, read)
	return db, damagedPath, err
}

// openChecked opens a database, checks its consistency and reads the caller's data.
func openChecked(path string, buckets [][]byte, read func(*bbolt.DB) error) (db *bbolt.DB, err error) {
	if err := checkComplete(path); err != nil {
		return nil, err
	}
	// bbolt panics on invalid page references, and an access to a mapped page beyond the end of
	// the file faults.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
		if err != nil && db != nil {
			db.Close()
			db = nil
		}
	}()
	if db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout}); err != nil {
		return nil, err
	}
	if err = createBuckets(db, buckets); err != nil {
		return db, err
	}
	if err = read(db); err != nil {
		err = fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return db, err
}

// createBuckets creates missing buckets, and checks the consistency of the database.
func createBuckets(db *bbolt.DB, buckets [][]byte) error {
	return db.Update(func(tx *bbolt.Tx) error {
		for _, name := range buckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		for err := range tx.Check() {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		return nil
	})
}

// bbolt's file layout: the file begins with two meta pages, of which the valid one with the
// higher transaction ID is current. Offsets and sizes are in bytes.
const (
	metaMagic       = 0xED0CDAED          // first field of a meta
	pageHeaderSize  = 16                  // precedes the meta in a meta page
	pageSizeOffset  = pageHeaderSize + 8  // of the page size in a meta page
	pageCountOffset = pageHeaderSize + 40 // of the page count in a meta page
	metaSize        = pageHeaderSize + 64 // page header and meta
	minPageSize     = 512
	maxPageSize     = 64 << 10
	maxPageCount    = 1 << 40 // keeps the product with the page size below 2^63
)

// checkComplete returns an error if a file is shorter than its meta pages state: bbolt would
// map the full size and fault on the missing pages.
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
		return nil // bbolt initializes an empty file as a new database
	}
	var page [metaSize]byte
	if _, err := f.ReadAt(page[:], 0); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	pageSize := int64(binary.LittleEndian.Uint32(page[pageSizeOffset:]))
	if !hasMetaMagic(&page) || pageSize < minPageSize || pageSize > maxPageSize {
		return nil // bbolt uses the other meta page, or returns an error
	}
	pages := pageCount(&page)
	if _, err := f.ReadAt(page[:], pageSize); err == nil && hasMetaMagic(&page) {
		pages = max(pages, pageCount(&page))
	}
	if pages > maxPageCount || info.Size() < int64(pages)*pageSize {
		return fmt.Errorf("%w: file has %d bytes, its meta page states %d pages of %d bytes", ErrDamaged, info.Size(), pages, pageSize)
	}
	return nil
}

// hasMetaMagic reports whether a page has the magic number of a meta page.
func hasMetaMagic(page *[metaSize]byte) bool {
	return binary.LittleEndian.Uint32(page[pageHeaderSize:]) == metaMagic
}

// pageCount returns the number of pages in the file according to a meta page.
func pageCount(page *[metaSize]byte) uint64 {
	return binary.LittleEndian.Uint64(page[pageCountOffset:])
}
