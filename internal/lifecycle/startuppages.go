package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// releaseStartupPages lets go of the pages of the program's own file that only starting
// up has touched: the libraries' registrations of messages and types, which no
// request needs. They are read-only and clean, so whatever is needed again is
// mapped again from the file. It returns how many bytes of mappings it let go.
func releaseStartupPages() (total uintptr, err error) {
	self, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return 0, err
	}
	maps, err := os.Open("/proc/self/smaps")
	if err != nil {
		return 0, err
	}
	defer maps.Close()
	for _, s := range cleanMappings(maps, self) {
		if _, _, e := unix.Syscall(unix.SYS_MADVISE, s.start, s.end-s.start, unix.MADV_DONTNEED); e != 0 {
			return total, e
		}
		total += s.end - s.start
	}
	return total, nil
}

type mapping struct{ start, end uintptr }

// cleanMappings are the mappings of a file that hold nothing but what is in it: those
// that cannot be written and have no page of their own. The dynamic linker writes
// addresses to one that is read-only afterwards, and the file does not have those.
func cleanMappings(smaps io.Reader, file string) (clean []mapping) {
	var at *mapping
	for in := bufio.NewScanner(smaps); in.Scan(); {
		f := strings.Fields(in.Text())
		if len(f) == 3 && f[0] == "Anonymous:" && at != nil && f[1] == "0" {
			clean = append(clean, *at)
		}
		var s mapping
		if len(f) < 5 || len(f[1]) != 4 {
			continue
		}
		if n, _ := fmt.Sscanf(f[0], "%x-%x", &s.start, &s.end); n != 2 {
			continue
		}
		at = nil
		if len(f) == 6 && f[5] == file && f[1][1] != 'w' && f[1][3] == 'p' {
			at = &s
		}
	}
	return clean
}
