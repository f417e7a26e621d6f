package faultbuild

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// patch replaces one piece of a file of the standard library. The piece must occur in the
// file exactly once.
type patch struct {
	file     string // path relative to GOROOT/src
	old, new string
}

// Change replaces one piece of a file of this module, for example to plant a fault that a
// test has to find. The piece must occur in the file exactly once.
type Change struct {
	File     string // path relative to the root of the module
	Old, New string
}

// patches insert the calls of the hooks in hooksSource into the standard library.
var patches = []patch{
	// time.Now, time.Since and time.Until.
	{"time/time.go", "	sec, nsec, mono := runtimeNow()\n	if mono == 0 {\n		return Time{uint64(nsec), sec + unixToInternal, Local}",
		"	sec, nsec, mono := runtimeNow()\n	sec += syscall.FaultWallSeconds()\n	syscall.FaultHold()\n	if mono == 0 {\n		return Time{uint64(nsec), sec + unixToInternal, Local}"},
	{"time/time.go", "		return subMono(runtimeNano()-startNano, t.ext)",
		"		elapsed := subMono(runtimeNano()-startNano, t.ext)\n		syscall.FaultHold()\n		return elapsed"},
	{"time/time.go", "		return subMono(t.ext, runtimeNano()-startNano)",
		"		left := subMono(t.ext, runtimeNano()-startNano)\n		syscall.FaultHold()\n		return left"},
	{"time/time.go", "import (\n", "import (\n	\"syscall\"\n"},
	// Accepts. ECONNABORTED and EINTR lead to another try, as they do after the real call.
	{"internal/poll/fd_unix.go", "		s, rsa, errcall, err := accept(fd.Sysfd)\n",
		"		if errno := syscall.FaultAccept(); errno != 0 {\n			if errno == syscall.ECONNABORTED || errno == syscall.EINTR {\n				continue\n			}\n			return -1, nil, \"accept4\", errno\n		}\n		s, rsa, errcall, err := accept(fd.Sysfd)\n"},
	// Writes at an offset, which fail after half of their bytes.
	{"internal/poll/fd_unix.go", "	defer fd.decref()\n	var nn int\n	for {\n		max := len(p)\n		if fd.IsStream && max-nn > maxRW {\n			max = nn + maxRW\n		}\n		n, err := syscall.Pwrite(",
		"	defer fd.decref()\n	if errno := syscall.FaultWrite(); errno != 0 {\n		n, _ := syscall.Pwrite(fd.Sysfd, p[:len(p)/2], off)\n		return n, errno\n	}\n	var nn int\n	for {\n		max := len(p)\n		if fd.IsStream && max-nn > maxRW {\n			max = nn + maxRW\n		}\n		n, err := syscall.Pwrite("},
	// Writes to a connection. The process is held or the connection shut down before them.
	{"internal/poll/fd_unix.go", "		n, err := ignoringEINTRIO(syscall.Write, fd.Sysfd, p[nn:max])\n",
		"		if !fd.isFile {\n			syscall.FaultHoldWrite()\n			syscall.FaultBreak(fd.Sysfd)\n		}\n		n, err := ignoringEINTRIO(syscall.Write, fd.Sysfd, p[nn:max])\n"},
	// Reads, closes and shutdowns of connections, which are traced.
	{"internal/poll/fd_unix.go", "		n, err := ignoringEINTRIO(syscall.Read, fd.Sysfd, p)\n",
		"		n, err := ignoringEINTRIO(syscall.Read, fd.Sysfd, p)\n		if n > 0 && fd.IsStream && !fd.isFile {\n			syscall.FaultTrace('R', fd.Sysfd, n)\n		}\n"},
	{"internal/poll/fd_unix.go", "func (fd *FD) Close() error {\n",
		"func (fd *FD) Close() error {\n	if fd.IsStream && !fd.isFile {\n		syscall.FaultTrace('C', fd.Sysfd, 0)\n	}\n"},
	{"internal/poll/fd_posix.go", "	return syscall.Shutdown(fd.Sysfd, how)\n",
		"	syscall.FaultTrace('S', fd.Sysfd, 0)\n	return syscall.Shutdown(fd.Sysfd, how)\n"},
	// Syncs of files and folders.
	{"internal/poll/fd_fsync_posix.go", "	return ignoringEINTR(func() error {\n",
		"	if errno := syscall.FaultSync(); errno != 0 {\n		return errno\n	}\n	return ignoringEINTR(func() error {\n"},
	// Connects.
	{"syscall/syscall_unix.go", "func Connect(fd int, sa Sockaddr) (err error) {\n",
		"func Connect(fd int, sa Sockaddr) (err error) {\n	if errno := FaultConnect(sa); errno != 0 {\n		return errno\n	}\n"},
}

// hooksFile is the file that is added to the standard library with hooksSource, relative to
// GOROOT/src.
const hooksFile = "syscall/fault_hooks.go"

// hooksSource is the source of the hooks that read the faults from the page of controls and
// write the trace. It is added to package syscall, since all patched packages import it.
const hooksSource = `package syscall

import (
	"sync/atomic"
	"unsafe"
)

// The page of controls; nil while no variable names one. Its fields are those of
// package faultbuild.
var faultPage *[` + pageFieldsText + `]int64

var faultRandom atomic.Uint64

// faultTrace is the descriptor of the trace; negative while there is none.
var faultTrace = -1

func init() {
	if path, ok := Getenv("` + TraceVariable + `"); ok {
		fd, err := Open(path, O_WRONLY|O_CREAT|O_APPEND|O_CLOEXEC, 0o600)
		if err != nil {
			panic("faultbuild: the trace can't be opened")
		}
		faultTrace = fd
	}
	path, ok := Getenv("` + PageVariable + `")
	if !ok {
		return
	}
	fd, err := Open(path, O_RDWR|O_CLOEXEC, 0)
	if err != nil {
		panic("faultbuild: the page of controls can't be opened")
	}
	b, err := Mmap(fd, 0, ` + pageBytesText + `, PROT_READ|PROT_WRITE, MAP_SHARED)
	if err != nil {
		panic("faultbuild: the page of controls can't be mapped")
	}
	Close(fd)
	faultPage = (*[` + pageFieldsText + `]int64)(unsafe.Pointer(&b[0]))
	faultRandom.Store(uint64(Getpid())*0x9e3779b97f4a7c15 | 1)
}

// FaultTrace adds a line to the trace: what has happened to a connection, its descriptor, the
// port of its peer, 0 if that is not known any more, a number of bytes, the time, and the
// process.
func FaultTrace(event byte, fd, bytes int) {
	if faultTrace < 0 || fd < 0 {
		return
	}
	port := 0
	if peer, err := Getpeername(fd); err == nil {
		if inet, ok := peer.(*SockaddrInet4); ok {
			port = inet.Port
		}
	}
	var line []byte
	line = append(line, event)
	var now Timespec
	RawSyscall(SYS_CLOCK_GETTIME, 0, uintptr(unsafe.Pointer(&now)), 0)
	for _, n := range [5]int{fd, port, bytes, int(now.Nano()), Getpid()} {
		line = append(line, ' ')
		line = faultAppendNumber(line, n)
	}
	Write(faultTrace, append(line, '\n'))
}

func faultAppendNumber(b []byte, n int) []byte {
	if n >= 10 {
		b = faultAppendNumber(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

func faultField(i int) int64 {
	if faultPage == nil {
		return 0
	}
	return atomic.LoadInt64(&faultPage[i])
}

// faultDraw says whether a fault of a probability, in parts of 2^32, comes now, and counts it.
func faultDraw(probability, count int) bool {
	p := faultField(probability)
	if p == 0 {
		return false
	}
	x := faultRandom.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	if int64((x^x>>31)>>32) >= p {
		return false
	}
	atomic.AddInt64(&faultPage[count], 1)
	return true
}

// FaultWallSeconds is how far the wall clock is off.
func FaultWallSeconds() int64 { return faultField(0) }

// faultStop stops the process by a signal to this thread: it takes effect before the
// call returns, and one to the process may be taken by another thread somewhat later.
func faultStop() {
	thread, _, _ := RawSyscall(SYS_GETTID, 0, 0, 0)
	RawSyscall(SYS_TGKILL, uintptr(Getpid()), thread, uintptr(SIGSTOP))
}

// FaultHold stops the whole process until somebody sends it SIGCONT.
func FaultHold() {
	if faultDraw(1, 2) {
		faultStop()
	}
}

// FaultHoldWrite does the same between the last reading of the clock and a write.
func FaultHoldWrite() {
	if faultDraw(15, 2) {
		faultStop()
	}
}

// FaultBreak shuts a connection, if that is armed.
func FaultBreak(fd int) {
	if faultPage != nil && atomic.CompareAndSwapInt64(&faultPage[17], 1, 0) {
		FaultTrace('B', fd, 0)
		Shutdown(fd, SHUT_RDWR)
	}
}

// FaultPoint notes that a point of the program is passed, and has the event come that is
// armed there.
func FaultPoint(point int) {
	if faultPage == nil {
		return
	}
	atomic.AddInt64(&faultPage[64+point], 1)
	if atomic.LoadInt64(&faultPage[18]) != int64(point)+1 || atomic.AddInt64(&faultPage[20], -1) >= 0 ||
		!atomic.CompareAndSwapInt64(&faultPage[18], int64(point)+1, 0) {
		return
	}
	switch atomic.LoadInt64(&faultPage[19]) {
	case 0:
		faultStop()
	case 1:
		Kill(Getpid(), SIGKILL)
		select {}
	case 2:
		Kill(Getpid(), SIGTERM)
	case 3:
		Kill(Getpid(), SIGHUP)
	case 4:
		atomic.StoreInt64(&faultPage[16], 1)
	case 5:
		atomic.StoreInt64(&faultPage[17], 1)
	case 6:
		atomic.StoreInt64(&faultPage[23], 1)
		faultStop()
	}
}

func nanosleep(span *Timespec) {
	Syscall(SYS_NANOSLEEP, uintptr(unsafe.Pointer(span)), 0, 0)
}

// FaultAccept, FaultWrite, FaultSync and FaultConnect tell the error of a call; 0 for none.
func FaultAccept() Errno {
	if faultDraw(3, 5) {
		return Errno(faultField(4))
	}
	return 0
}

func FaultWrite() Errno {
	if faultPage != nil && atomic.CompareAndSwapInt64(&faultPage[16], 1, 0) {
		return ENOSPC
	}
	if faultDraw(6, 8) {
		return Errno(faultField(7))
	}
	return 0
}

func FaultSync() Errno {
	if faultDraw(9, 11) {
		return Errno(faultField(10))
	}
	return 0
}

func FaultConnect(to Sockaddr) Errno {
	inet, ok := to.(*SockaddrInet4)
	if ok && int64(inet.Port) != faultField(22) && faultDraw(21, 14) { // it comes up late
		late := Timespec{Nsec: 300_000_000 + int64(faultRandom.Load()%600_000_000)}
		nanosleep(&late)
	}
	if faultDraw(12, 14) {
		return Errno(faultField(13))
	}
	return 0
}
`

// Build builds a package of this module, such as ./cmd/cometrack, to path, with the hooks
// for faults and with changes to the module's own files. The working directory must be
// within the module.
func Build(path, pkg string, changes ...Change) error {
	dir, err := os.MkdirTemp("", "faultbuild")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	overlay, err := writeOverlay(dir, changes...)
	if err != nil {
		return err
	}
	out, err := exec.Command("go", "build", "-overlay", overlay, "-o", path, pkg).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build %s: %w\n%s", pkg, err, out)
	}
	return nil
}

// writeOverlay writes the patched copies and the overlay file for go build to dir. It
// returns the path of the overlay file.
func writeOverlay(dir string, changes ...Change) (path string, err error) {
	root, err := goEnv("GOROOT")
	if err != nil {
		return "", err
	}
	module, err := moduleRoot()
	if err != nil {
		return "", err
	}
	source := filepath.Join(root, "src")
	texts := map[string]string{filepath.Join(source, hooksFile): hooksSource}
	for _, p := range patches {
		if err := replaceOnce(texts, filepath.Join(source, p.file), p.old, p.new); err != nil {
			return "", fmt.Errorf("patch the standard library of this tool chain: %w", err)
		}
	}
	for _, c := range changes {
		if err := replaceOnce(texts, filepath.Join(module, c.File), c.Old, c.New); err != nil {
			return "", err
		}
	}
	replace := map[string]string{}
	for name, text := range texts {
		file := filepath.Join(dir, fmt.Sprint(len(replace), "_", filepath.Base(name)))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return "", err
		}
		replace[name] = file
	}
	b, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, b, 0o600)
}

// goEnv returns a variable of the go command's environment, such as GOROOT.
func goEnv(name string) (string, error) {
	out, err := exec.Command("go", "env", name).Output()
	if err != nil {
		return "", fmt.Errorf("go env: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

// moduleRoot returns the root folder of this module.
func moduleRoot() (string, error) {
	file, err := goEnv("GOMOD")
	return filepath.Dir(file), err
}

// replaceOnce replaces a piece in the text of a file and stores the result in texts, by path.
// The file is read unless texts has its text already. It is an error if the piece doesn't
// occur exactly once.
func replaceOnce(texts map[string]string, file, before, after string) error {
	text, ok := texts[file]
	if !ok {
		b, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		text = string(b)
	}
	if n := strings.Count(text, before); n != 1 {
		return fmt.Errorf("%s: the piece to replace occurs %d times, want once:\n%s", file, n, before)
	}
	texts[file] = strings.Replace(text, before, after, 1)
	return nil
}
