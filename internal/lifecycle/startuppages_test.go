package lifecycle

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A read-only mapping to which the dynamic linker has written is not released: the addresses that it has
// written, of the C library, are not in the file.
func TestCleanMappings(t *testing.T) {
	const smaps = `00400000-00402000 r--p 00000000 fe:00 17 /bin/archknot
Size:                  8 kB
Anonymous:             0 kB
VmFlags: rd mr mw me sd
00402000-00e9f000 r-xp 00002000 fe:00 17 /bin/archknot
Anonymous:             0 kB
01a70000-01a71000 r--p 0166f000 fe:00 17 /bin/archknot
Anonymous:             4 kB
01a71000-01b60000 rw-p 01670000 fe:00 17 /bin/archknot
Anonymous:             0 kB
01b60000-02bb0000 rw-p 00000000 00:00 0
Anonymous:             0 kB
7f0000000000-7f0000100000 r-xp 00000000 fe:00 18 /lib/libc.so.6
Anonymous:             0 kB
`
	want := []mapping{{0x400000, 0x402000}, {0x402000, 0xe9f000}}
	if diff := cmp.Diff(want, cleanMappings(strings.NewReader(smaps), "/bin/archknot"), cmp.AllowUnexported(mapping{})); diff != "" {
		t.Error(diff)
	}
}
