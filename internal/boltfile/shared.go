package boltfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxCopyBytes bounds the size of a database that is read while another process has it open.
	maxCopyBytes = 16 << 20
	// maxCopyReads bounds how often the file is read until two reads in a row are equal, and copyReadInterval is
	// the pause between two of them.
	maxCopyReads     = 50
	copyReadInterval = 2 * time.Millisecond
	// lockRetryInterval is the pause between two attempts to get the lock of another process. A process that was
	// killed may hold it for some milliseconds more.
	lockRetryInterval = 10 * time.Millisecond
)

// ErrBusy is returned for an update of a database that another process has open.
var ErrBusy = errors.New("another process has the database open")

// Reader runs read-only transactions.
type Reader interface {
	View(fn func(*bbolt.Tx) error) error
}

// Database is a database file that another process may have open, such as the predecessor of a process in an
// upgrade. Until that process ends, it can be read and not updated. Its methods may be called from any goroutine.
type Database struct {
	path    string
	buckets [][]byte
	read    func(Reader) error

	mu sync.Mutex
	db *bbolt.DB // nil while another process has the file open
}

// Sharing says what is done with a database that another process has open.
type Sharing bool

const (
	// Exclusive waits for a while for the other process to end, and then fails.
	Exclusive Sharing = false
	// BesidePredecessor opens the database at once. It can only be read until the other process ends.
	BesidePredecessor Sharing = true
)

// OpenShared opens a database as Open does, unless another process has it open.
func OpenShared(path string, buckets [][]byte, sharing Sharing, read func(Reader) error) (d *Database, damagedPath string, err error) {
	d = &Database{path: path, buckets: buckets, read: read}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		damagedPath, err = d.acquire()
		switch {
		case !errors.Is(err, ErrBusy):
			return d, damagedPath, err
		case sharing == BesidePredecessor:
			return d, "", nil
		case time.Now().After(deadline):
			return nil, "", err
		}
	}
}

// acquire opens the file unless another process has it open; then it returns ErrBusy.
func (d *Database) acquire() (damagedPath string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.db != nil {
		return "", nil
	}
	// The lock is checked first, because the checks of Open may take a file for damaged that is being written.
	if isLocked(d.path) {
		return "", ErrBusy
	}
	d.db, damagedPath, err = Open(d.path, d.buckets, func(db *bbolt.DB) error { return d.read(db) })
	if errors.Is(err, bolterrors.ErrTimeout) {
		err = ErrBusy
	}
	return damagedPath, err
}

// isLocked reports whether another process holds the lock of a database file.
func isLocked(path string) bool {
	file, err := os.Open(path)
	if err != nil {
		return false
	}
	defer file.Close() // also releases the lock
	return errors.Is(syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}

// Acquire opens the file if no other process has it open; else it returns ErrBusy. Transactions do so too.
func (d *Database) Acquire() error {
	_, err := d.acquire()
	return err
}

// Update runs a read-write transaction. It returns ErrBusy while another process has the file open.
func (d *Database) Update(fn func(*bbolt.Tx) error) error {
	if _, err := d.acquire(); err != nil {
		return err
	}
	return d.db.Update(fn)
}

// View runs a read-only transaction, on a copy while another process has the file open.
func (d *Database) View(fn func(*bbolt.Tx) error) error {
	_, err := d.acquire()
	if errors.Is(err, ErrBusy) {
		return viewCopy(d.path, fn)
	}
	if err != nil {
		return err
	}
	return d.db.View(fn)
}

// Close closes the file. Later transactions fail.
func (d *Database) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.db == nil {
		return nil
	}
	return d.db.Close()
}

// viewCopy runs a read-only transaction on a copy of a file that another process may be writing. The copy is
// consistent, because the file did not change while it was read, and it is checked.
func viewCopy(path string, fn func(*bbolt.Tx) error) (err error) {
	content, err := readUnchanged(path)
	if err != nil {
		return err
	}
	fd, err := unix.MemfdCreate("database-copy", unix.MFD_CLOEXEC)
	if err != nil {
		return err
	}
	file := os.NewFile(uintptr(fd), "database-copy")
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return err
	}
	copyPath := fmt.Sprintf("/proc/self/fd/%d", fd)
	if err := checkComplete(copyPath); err != nil {
		return err
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // see openChecked
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	db, err := bbolt.Open(copyPath, 0o400, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		return err
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		for err := range tx.Check() {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		return fn(tx)
	})
}

// readUnchanged reads a file until two reads in a row give the same content.
func readUnchanged(path string) (content []byte, err error) {
	for range maxCopyReads {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if info.Size() > maxCopyBytes {
			return nil, fmt.Errorf("%w, and its %d bytes are too many to copy", ErrBusy, info.Size())
		}
		again, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		if content != nil && bytes.Equal(content, again) {
			return content, nil
		}
		content = again
		time.Sleep(copyReadInterval)
	}
	return nil, fmt.Errorf("%w, and writes it all the time", ErrBusy)
}
