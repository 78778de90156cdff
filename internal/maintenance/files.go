package maintenance

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FileSystem is the file system as the store uses it, so that tests can have it fail.
type FileSystem interface {
	// ReadFile returns a file's text; an error of fs.ErrNotExist says that there is none.
	ReadFile(path string) ([]byte, error)
	// WriteFileAtomic gives a file a new text, all of it, on disk, or none of it. It returns the stamp of the
	// file that it wrote, also if somebody has changed that file since.
	WriteFileAtomic(path string, text []byte) (stamp string, err error)
	// Fingerprint changes whenever a file does; "" where there is none.
	Fingerprint(path string) (string, error)
	// Rename renames a file.
	Rename(path, to string) error
}

// errNotOwnedFile says that a file is not this user's own regular file, and not to be believed.
var errNotOwnedFile = errors.New("not a regular file of this user's")

// osFileSystem is the real file system.
type osFileSystem struct{}

func (osFileSystem) ReadFile(path string) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if owner, ok := info.Sys().(*syscall.Stat_t); !info.Mode().IsRegular() || !ok || owner.Uid != uint32(os.Geteuid()) {
		return nil, fmt.Errorf("%s: %w", path, errNotOwnedFile)
	}
	text, err := io.ReadAll(io.LimitReader(f, maxStateBytes+1))
	if err == nil && len(text) > maxStateBytes {
		err = fmt.Errorf("%s: over %d bytes", path, maxStateBytes)
	}
	return text, err
}

func (osFileSystem) WriteFileAtomic(path string, text []byte) (stamp string, err error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return "", err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		// Taken here, for a file that is damaged right after the rename must not pass for this one.
		var info fs.FileInfo
		if info, err = f.Stat(); err == nil {
			stamp = fingerprintOf(info)
		}
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return "", err
	}
	return stamp, syncDirectory(filepath.Dir(path))
}

// syncDirectory has the folder's entries on disk.
func syncDirectory(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Sync(); err != nil && !errors.Is(err, syscall.EINVAL) { // some file systems have none of it
		return err
	}
	return nil
}

func (osFileSystem) Fingerprint(path string) (string, error) {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	return fingerprintOf(info), nil
}

func fingerprintOf(info fs.FileInfo) string {
	inode := uint64(0)
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		inode = s.Ino
	}
	return fmt.Sprint(inode, info.Size(), info.ModTime().UnixNano())
}

func (osFileSystem) Rename(path, to string) error { return os.Rename(path, to) }
