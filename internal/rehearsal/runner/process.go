package runner

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Instance is one process of a balancer.
type Instance interface {
	Kill()                 // ends it immediately
	Shutdown()             // shuts it down gracefully
	Reload()               // makes it reload its configuration
	Done() <-chan struct{} // is closed when it has ended
	ExitCode() int         // returns its exit code once it has ended
	Usage() Usage          // returns its current usage, or its CPU time once it has ended
}

// Usage is the resource usage of a balancer's process; unknown values are zero.
type Usage struct {
	MB      float64
	Sockets int
	Threads int
	CPU     time.Duration
}

// Files names the files and the directory that a balancer uses.
type Files struct {
	Config, Log string // paths of files
	TempDir     string // private temporary directory
}

// Launch starts a process of a balancer, given by its number, with its Files.
type Launch func(ctx context.Context, balancer int, at Files) (Instance, error)

// Program returns a Launch that starts a binary.
func Program(path string) Launch {
	return func(ctx context.Context, balancer int, at Files) (Instance, error) {
		out, err := os.OpenFile(at.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer out.Close()
		cmd := exec.CommandContext(ctx, path)
		cmd.Env = append(os.Environ(), "GW_CONFIG="+at.Config, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "GW_ADMIN_ADDR=",
			"TMPDIR="+at.TempDir, "STREAMRAIL_FILE=")
		if operatorPath := operatorFile(at.Config); fileExists(operatorPath) {
			cmd.Env[len(cmd.Env)-1] += operatorPath
		}
		cmd.Stderr, cmd.Stdout = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills the balancer when this process ends
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("balancer %d: %w", balancer+1, err)
		}
		p := &process{cmd: cmd, done: make(chan struct{})}
		go func() {
			cmd.Wait()
			close(p.done)
		}()
		return p, nil
	}
}

// operatorFile returns the path of a balancer's operator file, next to its configuration.
func operatorFile(config string) string {
	return strings.TrimSuffix(config, ".json") + ".operator.toml"
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// process is an Instance that runs as a separate operating system process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) Kill()     { p.cmd.Process.Kill() }
func (p *process) Shutdown() { p.cmd.Process.Signal(syscall.SIGTERM) }

// Pause suspends or continues the process.
func (p *process) Pause(on bool) {
	if on {
		p.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
}
func (p *process) Reload()               { p.cmd.Process.Signal(syscall.SIGHUP) }
func (p *process) Done() <-chan struct{} { return p.done }
func (p *process) ExitCode() int         { return p.cmd.ProcessState.ExitCode() }

// Usage reads /proc while the process runs, and the CPU time of its exit state afterwards.
func (p *process) Usage() (u Usage) {
	select {
	case <-p.done:
		u.CPU = p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
		return u
	default:
	}
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	if text, err := os.ReadFile(filepath.Join(dir, "statm")); err == nil {
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.ParseFloat(f[1], 64)
			u.MB = pages * float64(os.Getpagesize()) / (1 << 20)
		}
	}
	if fds, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		u.Sockets = len(fds)
	}
	if text, err := os.ReadFile(filepath.Join(dir, "stat")); err == nil {
		// The process name, in parentheses, may contain blanks. Of the fields after it, the 12th and 13th are the user and
		// system time in ticks and the 18th is the number of threads.
		_, rest, _ := strings.Cut(string(text), ") ")
		if f := strings.Fields(rest); len(f) > 17 {
			user, _ := strconv.Atoi(f[11])
			system, _ := strconv.Atoi(f[12])
			u.CPU = time.Duration(user+system) * clockTick
			u.Threads, _ = strconv.Atoi(f[17])
		}
	}
	return u
}

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond
