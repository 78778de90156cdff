package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// releaseStartupPages releases the read-only pages of the program's executable. Many of them are used only
// at startup, when libraries register their messages and types. The pages are clean, so the kernel reads a
// page that is used again from the file. It returns the size of the released mappings in bytes.
func releaseStartupPages() (total uintptr, err error) {
	self, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return 0, err
	}
	smaps, err := os.Open("/proc/self/smaps")
	if err != nil {
		return 0, err
	}
	defer smaps.Close()
	for _, m := range cleanMappings(smaps, self) {
		size := m.end - m.start
		if _, _, errno := unix.Syscall(unix.SYS_MADVISE, m.start, size, unix.MADV_DONTNEED); errno != 0 {
			return total, errno
		}
		total += size
	}
	return total, nil
}

// mapping is a range of addresses without its end.
type mapping struct{ start, end uintptr }

// cleanMappings returns the mappings of a file whose memory equals the file: private ones that cannot be
// written and have no anonymous page. A read-only mapping can have anonymous pages: the dynamic linker
// writes addresses to it before it becomes read-only, and those would be lost.
func cleanMappings(smaps io.Reader, file string) []mapping {
	var clean []mapping
	var candidate *mapping // the current mapping, if it is private, read-only and of the file
	scanner := bufio.NewScanner(smaps)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if candidate != nil && len(fields) == 3 && fields[0] == "Anonymous:" && fields[1] == "0" {
			clean = append(clean, *candidate)
		}
		m, ok := parseMappingLine(fields)
		if !ok {
			continue
		}
		candidate = nil
		permissions := fields[1]
		if len(fields) == 6 && fields[5] == file && permissions[1] != 'w' && permissions[3] == 'p' {
			candidate = &m
		}
	}
	return clean
}

// parseMappingLine parses the first line of a mapping: address range, permissions such as r--p, offset,
// device, inode, and the path if there is one. ok is false for any other line.
func parseMappingLine(fields []string) (m mapping, ok bool) {
	if len(fields) < 5 || len(fields[1]) != 4 {
		return m, false
	}
	parsed, _ := fmt.Sscanf(fields[0], "%x-%x", &m.start, &m.end) // parsed is below 2 on an error
	return m, parsed == 2
}
