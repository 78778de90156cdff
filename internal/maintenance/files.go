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

// Files is the file system as the store uses it, so that tests can have it fail.
type Files interface {
	// Read returns a file's text; an error of fs.ErrNotExist says that there is none.
	Read(path string) ([]byte, error)
	// Replace gives a file a new text, all of it, on disk, or none of it. It returns the stamp of the
	// file that it wrote, also if somebody has changed that file since.
	Replace(path string, text []byte) (stamp string, err error)
	// Stamp changes whenever a file does; "" where there is none.
	Stamp(path string) (string, error)
	// Aside renames a file.
	Aside(path, to string) error
}

// errForeign says that a file is not this user's own regular file, and not to be believed.
var errForeign = errors.New("not a regular file of this user's")

// disk is the real file system.
type disk struct{}

func (disk) Read(path string) ([]byte, error) {
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
		return nil, fmt.Errorf("%s: %w", path, errForeign)
	}
	text, err := io.ReadAll(io.LimitReader(f, mostText+1))
	if err == nil && len(text) > mostText {
		err = fmt.Errorf("%s: over %d bytes", path, mostText)
	}
	return text, err
}

func (disk) Replace(path string, text []byte) (stamp string, err error) {
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
			stamp = stampOf(info)
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
	return stamp, syncFolder(filepath.Dir(path))
}

// syncFolder has the folder's entries on disk.
func syncFolder(path string) error {
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

func (disk) Stamp(path string) (string, error) {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	return stampOf(info), nil
}

func stampOf(info fs.FileInfo) string {
	inode := uint64(0)
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		inode = s.Ino
	}
	return fmt.Sprint(inode, info.Size(), info.ModTime().UnixNano())
}

func (disk) Aside(path, to string) error { return os.Rename(path, to) }
