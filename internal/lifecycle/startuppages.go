package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// releaseStartupPages releases the pages of the program's own file that are used only at startup: the
// libraries' registrations of messages and types, which no request needs. They are read-only and clean,
// so a page that is needed again is mapped again from the file. It returns the size of the released
// mappings in bytes.
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

// mapping is a range of addresses.
type mapping struct{ start, end uintptr }

// cleanMappings returns the mappings of a file whose memory equals the file: private ones that cannot be
// written and have no anonymous page. The dynamic linker writes addresses to a mapping that is read-only
// afterwards, and the file does not have those.
func cleanMappings(smaps io.Reader, file string) []mapping {
	var clean []mapping
	var candidate *mapping // the mapping that the lines are about, if it is private, read-only and of the file
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
	parsed, _ := fmt.Sscanf(fields[0], "%x-%x", &m.start, &m.end) // n says how much of it matched
	return m, parsed == 2
}
