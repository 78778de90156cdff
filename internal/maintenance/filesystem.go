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

// FileSystem is the part of the file system that a Store uses. Tests replace it to inject faults.
type FileSystem interface {
	// ReadFile returns the content of a file; an error that is fs.ErrNotExist if there is none.
	ReadFile(path string) ([]byte, error)
	// WriteFileAtomic replaces the content of a file: after a crash the disk has all of the new content
	// or all of the old. It returns the fingerprint of the file that it wrote, even if the file has been
	// changed since.
	WriteFileAtomic(path string, content []byte) (fingerprint string, err error)
	// Fingerprint returns a string that changes whenever the file does, and "" if there is no file.
	Fingerprint(path string) (string, error)
	// Rename renames a file, and replaces a file that has the new name.
	Rename(oldPath, newPath string) error
}

// errNotOwnedFile is returned for a path that is not a regular file owned by the current user. The
// content of such a file is not read.
var errNotOwnedFile = errors.New("not a regular file of this user's")

// osFileSystem is the FileSystem of the operating system.
type osFileSystem struct{}

// ReadFile implements FileSystem. It follows no symbolic link, does not block on a named pipe, and
// reads only regular files of the current user of up to maxStateBytes.
func (osFileSystem) ReadFile(path string) ([]byte, error) {
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !isOwnRegularFile(info) {
		return nil, fmt.Errorf("%s: %w", path, errNotOwnedFile)
	}
	content, err := io.ReadAll(io.LimitReader(file, maxStateBytes+1))
	if err == nil && len(content) > maxStateBytes {
		err = fmt.Errorf("%s: over %d bytes", path, maxStateBytes)
	}
	return content, err
}

func isOwnRegularFile(info fs.FileInfo) bool {
	stat, ok := info.Sys().(*syscall.Stat_t)
	return ok && info.Mode().IsRegular() && stat.Uid == uint32(os.Geteuid())
}

// WriteFileAtomic implements FileSystem: it writes and syncs a temporary file in the same directory and
// renames it over path.
func (osFileSystem) WriteFileAtomic(path string, content []byte) (string, error) {
	directory := filepath.Dir(path)
	file, err := os.CreateTemp(directory, filepath.Base(path)+".new-*")
	if err != nil {
		return "", err
	}
	fingerprint, err := writeAndSync(file, content)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		os.Remove(file.Name())
		return "", err
	}
	return fingerprint, syncDirectory(directory)
}

// writeAndSync writes a new file to disk and returns its fingerprint. The fingerprint is taken before the
// file gets its final name, so that a change right after the rename is detected.
func writeAndSync(file *os.File, content []byte) (fingerprint string, err error) {
	if _, err := file.Write(content); err != nil {
		return "", err
	}
	if err := file.Sync(); err != nil {
		return "", err
	}
	info, err := file.Stat()
	if err != nil {
		return "", err
	}
	return fingerprintOf(info), nil
}

// syncDirectory flushes the entries of a directory to disk.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	err = directory.Sync()
	if errors.Is(err, syscall.EINVAL) { // some file systems don't support it
		return nil
	}
	return err
}

// Fingerprint implements FileSystem. The fingerprint has the inode, size and modification time.
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
	var inode uint64
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		inode = stat.Ino
	}
	return fmt.Sprint(inode, info.Size(), info.ModTime().UnixNano())
}

// Rename implements FileSystem.
func (osFileSystem) Rename(oldPath, newPath string) error { return os.Rename(oldPath, newPath) }
