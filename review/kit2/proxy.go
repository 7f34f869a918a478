package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to a worker. It can silence those that are open: they stay open and carry nothing any more,
// while new ones work.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns []*proxyConn
}

// proxyConn is a forwarded connection.
type proxyConn struct{ silent, ended atomic.Bool }

func startProxy(addr, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target}
	background(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			background(func() { p.forward(c) })
		}
	})
	return p, nil
}

func (p *proxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	worker, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = worker.Close() }()
	pc := &proxyConn{}
	p.mu.Lock()
	p.conns = append(p.conns, pc)
	p.mu.Unlock()
	background(func() { pc.pump(client, worker) })
	pc.pump(worker, client)
	pc.ended.Store(true)
}

// pump copies until the source ends. What arrives on a silent connection is dropped, its end too.
func (pc *proxyConn) pump(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if pc.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

// silence silences the open connections and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pc := range p.conns {
		if !pc.ended.Load() {
			pc.silent.Store(true)
			n++
		}
	}
	return n
}
