package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a program of the deploy file that is started again whenever it ends.
type process struct {
	name     string
	program  string
	role     string
	settings string
	log      *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	closing bool
}

// processes are those that this run started, to end them whatever happens.
type processes struct {
	mu  sync.Mutex
	all []*process
}

var started processes

func (ps *processes) add(p *process) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.all = append(ps.all, p)
}

// end kills all processes that this run started.
func (ps *processes) end() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.all {
		p.close()
	}
	ps.all = nil
}

func (w *world) start(role, settings string) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, len(w.balancers)+len(w.agents))
	p := &process{name: name, program: w.program, role: role, settings: filepath.Join(w.folder, name+".toml")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = log
	started.add(p)
	return p, p.run()
}

func (p *process) run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return nil
	}
	cmd := exec.Command(p.program, p.role) //nolint:noctx // it is ended by close
	cmd.Env = append(os.Environ(), "WAGTAILTRAY_BOOT="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go p.restart(cmd, p.exited)
	return nil
}

func (p *process) restart(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait()
	close(exited)
	time.Sleep(restartDelay)
	_ = p.run()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// leave stops the process as planned. It is not started again.
func (p *process) leave() {
	p.mu.Lock()
	p.closing = true
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// close kills the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closing = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
	_ = p.log.Close()
}

// events returns the lines of the process's log that hold a word.
func (p *process) events(word string) []string {
	file, err := os.Open(p.log.Name())
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var all []string
	for s := bufio.NewScanner(file); s.Scan(); {
		if strings.Contains(s.Text(), word) {
			all = append(all, s.Text())
		}
	}
	return all
}
