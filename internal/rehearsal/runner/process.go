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

// Instance is one running balancer.
type Instance interface {
	Kill()                 // at once
	Term()                 // in order
	Hup()                  // take the configuration again
	Done() <-chan struct{} // closed when it has ended
	Exit() int             // its code, once it has ended
	Usage() Usage          // at present, or at its end
}

// Usage is what a balancer takes of the machine; zero where that is not known.
type Usage struct {
	MB      float64
	Sockets int
	Threads int
	CPU     time.Duration
}

// Place is where a balancer finds and leaves things.
type Place struct {
	Config, Log string // files
	Temp        string // a folder that is private to it
}

// Launch starts a balancer at its place.
type Launch func(ctx context.Context, balancer int, at Place) (Instance, error)

// Program starts balancers from a binary.
func Program(path string) Launch {
	return func(ctx context.Context, balancer int, at Place) (Instance, error) {
		out, err := os.OpenFile(at.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer out.Close()
		cmd := exec.CommandContext(ctx, path)
		cmd.Env = append(os.Environ(), "GW_CONFIG="+at.Config, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "GW_ADMIN_ADDR=",
			"TMPDIR="+at.Temp, "STREAMRAIL_FILE=")
		if own := operatorFile(at.Config); fileExists(own) {
			cmd.Env[len(cmd.Env)-1] += own
		}
		cmd.Stderr, cmd.Stdout = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the kit
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

// operatorFile is where the operator's own file of a balancer stands, beside its configuration.
func operatorFile(config string) string {
	return strings.TrimSuffix(config, ".json") + ".operator.toml"
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) Kill() { p.cmd.Process.Kill() }
func (p *process) Term() { p.cmd.Process.Signal(syscall.SIGTERM) }

// Pause makes the process stand still, or go on.
func (p *process) Pause(on bool) {
	if on {
		p.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
}
func (p *process) Hup()                  { p.cmd.Process.Signal(syscall.SIGHUP) }
func (p *process) Done() <-chan struct{} { return p.done }
func (p *process) Exit() int             { return p.cmd.ProcessState.ExitCode() }

// Usage reads the system's figures of the process.
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
		// The name, in brackets, may hold blanks; the 12th and 13th fields behind it are user and system ticks, the 18th counts threads.
		_, rest, _ := strings.Cut(string(text), ") ")
		if f := strings.Fields(rest); len(f) > 17 {
			user, _ := strconv.Atoi(f[11])
			system, _ := strconv.Atoi(f[12])
			u.CPU = time.Duration(user+system) * tick
			u.Threads, _ = strconv.Atoi(f[17])
		}
	}
	return u
}

// tick is the unit of /proc's processor times on Linux.
const tick = 10 * time.Millisecond
