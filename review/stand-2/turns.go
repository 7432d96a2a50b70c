package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// leaseMs is the bound of the small deployment.
	leaseMs = 3000 * time.Millisecond
	// silence is how long a sound replica falls silent.
	silence = time.Second
	// termAfter is when the holder gets SIGTERM after that.
	termAfter = 300 * time.Millisecond
	// askers is the number of clients.
	askers = 12
	models = 4
	loras  = 30
)

// engineSpec is the part of the configuration that describes the models of a service.
func engineSpec() map[string]any {
	var list []map[string]any
	for m := range models {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("m%d", m), "weightsMb": modelMb, "loadS": loadTime.Seconds(), "warmS": warmTime.Seconds(), "diskS": diskTime.Seconds(),
			"adapters": loras, "loraMb": 66,
		})
	}
	return map[string]any{
		"slots": 64, "kvTokens": 154482, "weightsMb": replicaMb, "loraSlots": loraSlots, "hostMb": 800000, "diskMb": 2000000, "loadsPerS": 6.6, "models": list,
	}
}

// configureModels writes a configuration with one service of model replicas.
func (w *world) configureModels(version int) {
	w.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []route{{
			Name: "fit-advice", Host: callerHost, PathPrefix: "/bopu901/", Kind: "streaming", TimeoutMs: 15000, SloMs: 400, GapAimMs: 250,
			Svc: "fitmodel", Attempts: 2, CanResume: true, Sticky: true,
		}},
		"services": []map[string]any{{"name": "fitmodel", "healthPath": "/healthz", "engine": engineSpec()}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
	w.logf("operator: configuration version %d written", version)
}

// ask has clients ask for adapters of the models until ctx ends.
func (w *world) ask(ctx context.Context, served *atomic.Int64) {
	var all sync.WaitGroup
	defer all.Wait()
	for c := range askers {
		all.Go(func() {
			random := rand.New(rand.NewPCG(uint64(c), 60))
			client := &http.Client{Timeout: 4 * time.Second}
			for n := 0; ctx.Err() == nil; n++ {
				h := w.hosts[random.IntN(len(w.hosts))]
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front()+"/bopu901/x", strings.NewReader("prompt"))
				if err != nil {
					return
				}
				id := fmt.Sprintf("c%dn%d", c, n)
				req.Host = callerHost
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Model", fmt.Sprintf("m%d/a%d", random.IntN(models), 1+random.IntN(loras)))
				req.Header.Set("X-Token-Count", "100,12")
				req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:80,%x:20", random.Uint32()))
				req.Header.Set("X-Deadline-Ms", "4000")
				resp, err := client.Do(req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if err == nil && resp.StatusCode == http.StatusOK {
						served.Add(1)
					}
				}
				select {
				case <-time.After(20 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
}

// lastOwner returns who gave the last order that a replica has read.
func (e *engine) lastOwner() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.received) == 0 {
		return ""
	}
	return e.received[len(e.received)-1].Owner
}

// lossTime is how long the link to a replica loses packets.
const lossTime = 300 * time.Millisecond

// playTurns has a sound replica fall silent for a second, as it may, and with trouble sends SIGTERM
// to the host that gives the orders meanwhile.
func playTurns(w *world) (bool, error) {
	w.lossy = os.Getenv("VARIANT") == "lossy"
	w.configureModels(1)
	var engines []*engine
	for i := range 2 {
		e, err := w.startEngine(fmt.Sprintf("i-fit%d", i), "fitmodel", i, fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for i := range 3 {
		if _, err := w.startHost(1+i, true); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var served atomic.Int64
	var asking sync.WaitGroup
	asking.Go(func() { w.ask(ctx, &served) })
	defer asking.Wait()
	defer cancel()
	time.Sleep(8 * time.Second)
	e := engines[0]
	owner := e.lastOwner()
	if owner == "" {
		return false, fmt.Errorf("no order came, %d requests served", served.Load())
	}
	var silent sync.WaitGroup
	if w.lossy {
		w.logf("the link to replica %s loses packets for %v", e.id, lossTime)
		e.link.losing.Store(true)
		time.Sleep(lossTime)
		e.link.losing.Store(false)
	} else {
		silent.Go(func() { e.fallSilent(silence) })
		time.Sleep(termAfter)
	}
	for _, h := range w.hosts {
		if w.trouble && h.name == owner {
			w.logf("host %s, which gives the orders, gets SIGTERM", h.name)
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	silent.Wait()
	time.Sleep(8 * time.Second)
	w.logf("%d requests served", served.Load())
	if w.lossy {
		w.logf("the link to replica %s lost %d of %d packets", e.id, e.link.lost.Load(), e.link.packets.Load())
	}
	broken := false
	for _, e := range engines {
		e.mu.Lock()
		for i := 1; i < len(e.received); i++ {
			a, b := e.received[i-1], e.received[i]
			if a.Owner == b.Owner {
				continue
			}
			gap := b.at.Sub(a.at)
			w.logf("replica %s: an order of %s comes %v after one of %s", e.id, b.Owner, gap.Round(time.Millisecond), a.Owner)
			if gap < leaseMs {
				w.logf("ONE: two holders took turns within %v", leaseMs)
				broken = true
			}
		}
		e.mu.Unlock()
	}
	return broken, nil
}
