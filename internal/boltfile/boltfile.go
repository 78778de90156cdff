// Package boltfile opens small bbolt databases that survive a kill at any point. A
// damaged one is set aside: it is neither served from nor lost.
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

// lockTimeout is how long Open waits for another process that has the file open.
const lockTimeout = time.Second

// asideTime is the time in the name of a database that is set aside.
const asideTime = "20060102T150405.000000"

// ErrDamaged is wrapped by errors of a database that can't be read.
var ErrDamaged = errors.New("damaged")

// Open opens the database at a path, with mode 0600, and creates its buckets where they
// are missing. The function read must be able to read all that the caller needs. A damaged
// database is set aside: aside is its new name, and an empty one takes its place.
func Open(path string, buckets [][]byte, read func(*bbolt.DB) error) (db *bbolt.DB, aside string, err error) {
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
	aside = fmt.Sprintf("%s.damaged-%s", path, time.Now().UTC().Format(asideTime))
	if renameErr := os.Rename(path, aside); renameErr != nil {
		return nil, "", errors.Join(err, renameErr)
	}
	db, err = openChecked(path, buckets, read)
	return db, aside, err
}

// openChecked opens a database and checks all of it.
func openChecked(path string, buckets [][]byte, read func(*bbolt.DB) error) (db *bbolt.DB, err error) {
	if err := checkComplete(path); err != nil {
		return nil, err
	}
	// Pages that point nowhere make the library panic, and pages beyond the end of the
	// file fault.
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

// createBuckets creates the buckets that are missing, and checks the database.
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

// The head of a database, as the library lays it out: two meta pages, of which the one
// with the higher transaction counts. Each has a page header of 16 bytes before it.
const (
	metaMagic       = 0xED0CDAED
	headerSize      = 16
	pageSizeOffset  = headerSize + 8
	pageCountOffset = headerSize + 40
	metaSize        = headerSize + 64
	minPageSize     = 512
	maxPageSize     = 64 << 10
	maxPageCount    = 1 << 40
)

// checkComplete returns an error if a file is shorter than its head says: the library would
// map all of it, and fault at what is missing.
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
		return nil // the library makes a new database of it
	}
	var head [metaSize]byte
	if _, err := f.ReadAt(head[:], 0); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	pageSize := int64(binary.LittleEndian.Uint32(head[pageSizeOffset:]))
	if !hasMeta(&head) || pageSize < minPageSize || pageSize > maxPageSize {
		return nil // the other meta page may do, or the library reports it
	}
	pages := pageCount(&head)
	if _, err := f.ReadAt(head[:], pageSize); err == nil && hasMeta(&head) {
		pages = max(pages, pageCount(&head))
	}
	if pages > maxPageCount || info.Size() < int64(pages)*pageSize {
		return fmt.Errorf("%w: %d bytes, its head has %d pages of %d", ErrDamaged, info.Size(), pages, pageSize)
	}
	return nil
}

// hasMeta reports whether a meta page is there.
func hasMeta(head *[metaSize]byte) bool {
	return binary.LittleEndian.Uint32(head[headerSize:]) == metaMagic
}

// pageCount is the number of pages that a meta page has.
func pageCount(head *[metaSize]byte) uint64 {
	return binary.LittleEndian.Uint64(head[pageCountOffset:])
}
