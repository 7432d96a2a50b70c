package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// trial is a List on a clock that the test sets.
type trial struct {
	*List
	now    time.Duration
	others []string
}

func newTrial() *trial {
	tr := &trial{now: time.Hour}
	tr.List = New(Config{
		Self: "h", Peers: fake.NewPeers(fake.PeersConfig{}).Host("h"), Store: fake.NewStreams().Client("h"),
		Others: func() []string { return tr.others }, Clock: func() time.Duration { return tr.now }, Logger: log.New(io.Discard),
	})
	return tr
}

// identity returns the request of a text like "a,b,#x": a prompt with the parts a and b and
// one of its own, or none, in a request with the content x, if it is given.
func identity(text string) tamarackknot.RequestIdentity {
	r := tamarackknot.RequestIdentity{ID: "own", Service: "s"}
	for _, name := range strings.Split(text, ",") {
		if content, ok := strings.CutPrefix(name, "#"); ok {
			copy(r.Content[:], content)
		} else {
			r.Parts = append(r.Parts, name)
		}
	}
	if len(r.Parts) > 0 {
		r.Parts = append(r.Parts, "own")
	}
	return r
}

// play records, from a step each second: "e1:a,#x" an endpoint that broke off the answer to
// such a request, "+e1:a" one that answered it, "e1" one that sent something one second
// after its loss, "60s" a pause.
func (tr *trial) play(steps string) {
	for _, step := range strings.Fields(steps) {
		tr.now += time.Second
		id, request, hasRequest := strings.Cut(strings.TrimPrefix(step, "+"), ":")
		e := tamarackknot.EndpointEntry{ID: id, Service: "s"}
		pause, err := time.ParseDuration(step)
		switch {
		case err == nil:
			tr.now += pause
		case strings.HasPrefix(step, "+"):
			tr.RecordAnswer(e, identity(request))
		case hasRequest:
			tr.RecordLoss(e, identity(request))
		default:
			tr.RecordAlive(e)
		}
	}
}

func (tr *trial) rejects(request string) bool { return tr.Rejects(identity(request)) }

// TestBlame guards against requests with a crashing part that are not rejected, and
// against parts that a caller, or bad luck, puts beside it and that are rejected with it.
func TestBlame(t *testing.T) {
	const threeBad = "e1:c,bad e2:c,bad e3:c,bad "
	for name, tt := range map[string]struct {
		steps            string
		rejected, served []string
	}{
		"one crash":                         {"e1:bad", nil, []string{"bad"}},
		"two crashes":                       {"e1:bad e2:bad", []string{"bad"}, []string{"x"}},
		"three crashes":                     {"e1:bad e2:bad e3:bad", []string{"bad", "c,bad", "bad,x"}, []string{"c", "x"}},
		"three breaks of one endpoint":      {"e1:bad e1:bad e1:bad", nil, []string{"bad"}},
		"an endpoint answers after":         {"e1:bad e2:bad e2", nil, []string{"bad"}},
		"the next start answers":            {"e1:bad e2:bad e3:bad 2s e3", []string{"bad"}, nil},
		"common part answered":              {"+e9:c " + threeBad + "+e9:c", []string{"c,bad", "bad"}, []string{"c", "c,x"}},
		"companion never answered":          {threeBad, []string{"c,bad", "c,x,bad"}, []string{"c", "c,x", "bad,x"}},
		"companion alone crashes":           {threeBad + "e4:c,x", []string{"c,bad", "c,x", "c"}, []string{"bad,x"}},
		"companion of some":                 {"e1:v,bad e2:v,bad e3:v,bad e4:bad", []string{"v,bad", "bad"}, []string{"v", "v,x"}},
		"in flight at crashed endpoints":    {"e1:v,own1 e1:bad e2:v,own2 e2:bad e3:v,own3 e3:bad e4:bad", []string{"bad"}, []string{"v", "v,own1"}},
		"in flight at the first two":        {"e1:v,bad e2:v,bad", []string{"v,bad"}, []string{"v", "v,x", "bad"}},
		"answered before, five crashes":     {"+e9:c e1:c e2:c e3:c e4:c e5:c", nil, []string{"c"}},
		"answered before, six crashes":      {"+e9:c e1:c e2:c e3:c e4:c e5:c e6:c", []string{"c"}, nil},
		"answered in between":               {"e1:c e2:c +e9:c e3:c", nil, []string{"c"}},
		"answered after a probe":            {"e1:bad e2:bad e3:bad 61s +e9:bad", nil, []string{"bad"}},
		"answered after, long ago":          {"e1:bad e2:bad e3:bad +e9:bad 300s +e9:x 100s +e9:x", nil, []string{"bad"}},
		"two crashing parts":                {"e1:a e2:a e3:a e4:b e5:b e6:b", []string{"a", "b"}, []string{"x"}},
		"last part":                         {"e1:x e2:y e3:z", nil, []string{"x", "w"}},
		"another service has its own parts": {"e1:bad e2:bad e3:bad", []string{"bad"}, nil},
		"request, one crash":                {"e1:#x", nil, []string{"#x"}},
		"request, two crashes":              {"e1:#x e2:#x", []string{"#x"}, []string{"#y", "a"}},
		"request, a minute after the third": {"e1:#x e2:#x e3:#x 70s", []string{"#x"}, []string{"#y"}},
		"request answered after":            {"e1:#x e2:#x e3:#x +e4:#x", nil, []string{"#x"}},
		"request answered before":           {"+e9:#x e1:#x e2:#x e3:#x", nil, []string{"#x"}},
		"request sent to two, its endpoints in flight": {
			"e1:#y e1:#x e2:#y e2:#x", nil, []string{"#x", "#y"},
		},
		"and to a third":                {"e1:#y e1:#x e2:#y e2:#x e3:#x", []string{"#x"}, []string{"#y"}},
		"polled request in flight":      {"+e9:#poll e1:#poll e1:#x e2:#poll e2:#x e3:#poll e3:#x", []string{"#x"}, []string{"#poll"}},
		"request with an answered part": {"+e9:c e1:c,#x e2:c,#x +e9:c", []string{"c,#x", "#x"}, []string{"c", "c,#y"}},
		"part in different requests":    {"e1:bad,#x e2:bad,#y e3:bad,#z", []string{"bad,#w", "bad"}, []string{"#x", "a,#x"}},
		"part in one request":           {"e1:bad,#x e2:bad,#x", []string{"bad,#x"}, []string{"bad", "#x"}},
		"part in two requests, each sent to two": {
			"e1:bad,#x e1:bad,#y e2:bad,#x e2:bad,#y", []string{"bad,#x", "bad,#y"}, []string{"bad,#z", "#x"},
		},
		"request, and a part of others in flight": {
			"e1:#n e1:v,#y e2:#n e2:v,#z e3:#n e3:v,#w", []string{"v,#n", "#n", "u,#n"}, []string{"v", "v,#y", "u"},
		},
		"and the part answered":            {"e1:#x e1:v,#y e2:#x e2:v,#z e3:#x e3:v,#w +e4:v", []string{"#x", "u,#x"}, []string{"v", "v,#y"}},
		"starts again, its entry is late":  {"e1:#x e2:#x e3:#x 3s e1:#y e2:#y e3:#y", []string{"#x", "#y"}, []string{"#z"}},
		"the same, and with parts":         {"e1:a e2:a 3s e1:a", []string{"a"}, nil},
		"several answers lost in a second": {"e1:#x e1:#x e1:#x", nil, []string{"#x"}},
		"records expire":                   {"e1:bad e2:bad e3:bad 16m e4:x", nil, []string{"bad"}},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTrial()
			tr.others = []string{"i"} // this host may not probe alone
			tr.play(tt.steps)
			for _, parts := range tt.rejected {
				require.True(t, tr.rejects(parts), "rejected: %s", parts)
				other := identity(parts)
				other.Service, other.Content = "other", tamarackknot.ContentID{}
				require.False(t, tr.Rejects(other))
			}
			for _, parts := range tt.served {
				require.False(t, tr.rejects(parts), "served: %s", parts)
			}
		})
	}
}

// TestProbation guards against a part that is rejected for good, and against several
// requests at once that try it.
func TestProbation(t *testing.T) {
	tr := newTrial()
	tr.play("e1:bad e2:bad e3:bad 58s")
	require.True(t, tr.rejects("bad"))
	tr.play("2s")
	require.False(t, tr.rejects("bad"), "the first request after the ban")
	require.False(t, tr.rejects("bad"), "the same request, which waits for an endpoint")
	second := identity("bad")
	second.ID = "second"
	require.True(t, tr.Rejects(second), "the second one")
	tr.play("e4:bad 60s")
	require.True(t, tr.rejects("bad"), "the ban is longer after another crash")
	tr.play("60s")
	require.False(t, tr.rejects("bad"))
	tr.play("e5:bad")
	require.True(t, tr.rejects("bad"), "the same request once it was lost")
}

// TestRequestBesidePart guards against a request that goes on crashing endpoints because a
// part of the prompts beside it may be to blame, and against one that is rejected for good
// although the part is.
func TestRequestBesidePart(t *testing.T) {
	tr := newTrial()
	tr.play("e1:#x e1:v,#y e2:#x e2:v,#z e3:#x e3:v,#w")
	require.False(t, tr.rejects("#x"), "a trial")
	second := identity("#x")
	second.ID = "second"
	require.True(t, tr.Rejects(second), "the second one")
	tr.play("+e4:#x")
	require.False(t, tr.Rejects(second), "once it was answered")
	require.True(t, tr.rejects("v"))
}

// TestProbeIsNotRetried guards against a request on probation that crashes a second
// endpoint before the first crash is known.
func TestProbeIsNotRetried(t *testing.T) {
	tr := newTrial()
	tr.cfg.Reachable = func(context.Context, string) bool { return false } // asked by RunChecks, which does not run
	tr.addLoss(check{loss: loss{start: start{endpoint: "e1"}, at: tr.now, causes: set(causesOf(identity("#x")))}})
	tr.addLoss(check{loss: loss{start: start{endpoint: "e2"}, at: tr.now, causes: set(causesOf(identity("#x")))}})
	tr.play("6s")
	require.False(t, tr.rejects("#x"))
	tr.RecordLoss(tamarackknot.EndpointEntry{ID: "e3", Service: "s"}, identity("#x"))
	require.True(t, tr.rejects("#x"))
}

// TestMessagesOfEarlierBuild guards against records of requests that hosts of the build
// before can't read or take for parts, and against theirs that this build can't read.
func TestMessagesOfEarlierBuild(t *testing.T) {
	tr := newTrial()
	tr.play("e1:bad,#x e2:bad,#x +e3:#x")
	sent, err := json.Marshal(tr.all())
	require.NoError(t, err)
	// The messages of 53753f3.
	var earlier struct {
		Losses []struct {
			Endpoint   string
			BornMs     int64
			AgeMs      int64
			AliveMsAgo int64
			Parts      []string
		}
		Answers []struct {
			Part  string
			AgeMs int64
		}
	}
	require.NoError(t, json.Unmarshal(sent, &earlier))
	require.Len(t, earlier.Losses, 2)
	for _, lost := range earlier.Losses {
		require.Equal(t, []string{partCause("s", "bad").String()}, lost.Parts)
		require.Equal(t, int64(-1), lost.AliveMsAgo)
	}
	require.Len(t, earlier.Answers, 1)
	require.Empty(t, earlier.Answers[0].Part, "an answer to a request is none to a part")

	part := partCause("s", "bad").String()
	_, err = tr.handleSpread(context.Background(), "i", []byte(`{"losses":[{"endpoint":"e4","bornMs":0,"ageMs":0,"aliveMsAgo":-1,"parts":["`+part+`"]}]}`))
	require.NoError(t, err)
	require.True(t, tr.rejects("bad"))
}

// TestProbingHost guards against several hosts that try a part on probation.
func TestProbingHost(t *testing.T) {
	hosts, probing := []string{"h", "i", "j", "k"}, 0
	for _, self := range hosts {
		tr := newTrial()
		tr.cfg.Self = self
		tr.others = slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == self })
		tr.play("e1:bad e2:bad e3:bad 61s")
		if !tr.rejects("bad") {
			probing++
		}
	}
	require.Equal(t, 1, probing)
}

// TestReachableEndpoint guards against single broken answers of endpoints that go on, which
// are taken for crashes and spread to all hosts.
func TestReachableEndpoint(t *testing.T) {
	for name, reachable := range map[string]bool{"goes on": true, "crashed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial()
				tr.cfg.Reachable = func(_ context.Context, address string) bool {
					require.Contains(t, address, "address of e")
					return reachable
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go tr.RunChecks(ctx)
				for _, id := range []string{"e1", "e2"} {
					tr.RecordLoss(tamarackknot.EndpointEntry{ID: id, Service: "s", Address: "address of " + id}, identity("bad"))
				}
				synctest.Wait()
				require.Equal(t, !reachable, tr.rejects("bad"))
				require.Equal(t, reachable, len(tr.changes().Losses) == 0)
			})
		})
	}
}

// TestHostThatOthersDoNotList guards against a host that has just started, to which the others
// send no changes yet, and which blames what the others know to be answered in place of what
// crashes endpoints.
func TestHostThatOthersDoNotList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		peers, clock := fake.NewPeers(fake.PeersConfig{}), func() time.Duration { return time.Since(began) + time.Hour }
		newList := func(host string, others ...string) *List {
			return New(Config{
				Self: host, Peers: peers.Host(host), Store: fake.NewStreams().Client(host),
				Others: func() []string { return others }, Clock: clock, Logger: log.New(io.Discard),
			})
		}
		listed, started := newList("h"), newList("i", "h")
		ctx, cancel := context.WithCancel(t.Context())
		go listed.Run(ctx)
		go started.Run(ctx)
		defer func() {
			cancel()
			peers.Wait()
			synctest.Wait()
		}()
		sound, crashing := identity("c,#sound"), identity("c,#crashing")
		listed.RecordAnswer(tamarackknot.EndpointEntry{ID: "e9", Service: "s"}, sound)
		time.Sleep(2 * pullInterval) // the started host has asked for all records
		for _, id := range []string{"e1", "e2"} {
			started.RecordLoss(tamarackknot.EndpointEntry{ID: id, Service: "s"}, sound)
			started.RecordLoss(tamarackknot.EndpointEntry{ID: id, Service: "s"}, crashing)
		}
		started.RecordLoss(tamarackknot.EndpointEntry{ID: "e3", Service: "s"}, sound)
		require.True(t, started.Rejects(sound), "it knows of no answer")
		time.Sleep(300 * time.Millisecond)
		require.False(t, started.Rejects(sound))
		require.True(t, started.Rejects(crashing))
	})
}

// TestBounds guards against records without limit, and against message parts that can't
// be read.
func TestBounds(t *testing.T) {
	tr := newTrial()
	var parts []string
	for i := range 2 * maxLossCauses {
		parts = append(parts, fmt.Sprint(i))
	}
	for i := range 2 * maxLosses {
		tr.play(fmt.Sprintf("e%d:%s", i, strings.Join(parts, ",")))
	}
	require.LessOrEqual(t, len(tr.losses), maxLosses)
	for _, l := range tr.losses {
		require.LessOrEqual(t, len(l.causes), maxLossCauses)
	}
	for i := range 3 * maxAnswers {
		tr.answers.put(causeID{hash: [hashBytes]byte{byte(i), byte(i >> 8), byte(i >> 16)}}, tr.now)
	}
	require.LessOrEqual(t, len(tr.answers.recent)+len(tr.answers.earlier), 2*maxAnswers)
	_, err := tr.handleSpread(context.Background(), "i", []byte(`{"losses":[{"endpoint":"e","parts":["zz","00"],"requests":["zz"]}],"answers":[{"part":"-"},{"part":"","request":"-"}]}`))
	require.NoError(t, err)
	_, err = tr.handleSpread(context.Background(), "i", []byte(`{"losses":1}`))
	require.Error(t, err)
}

// TestRepeatedRecordOfLiveEndpoint guards against a loss that was refuted and counts as a
// crash again when its record is repeated.
func TestRepeatedRecordOfLiveEndpoint(t *testing.T) {
	tr := newTrial()
	tr.play("e1:bad e1 e1")
	tr.now += 500 * time.Millisecond
	tr.RecordAlive(tamarackknot.EndpointEntry{ID: "e1", Service: "s"})
	tr.merge(tr.all(), "")
	tr.play("e2:bad")
	require.False(t, tr.rejects("bad"), "one crash")
}

// TestManyOtherCrashes guards against a ban that ends because many endpoints crash for
// other reasons, and against records without limit.
func TestManyOtherCrashes(t *testing.T) {
	tr := newTrial()
	tr.others = []string{"i"}
	tr.play("e1:#x e2:#x e3:#x")
	for i := range 3 * maxLosses {
		tr.play(fmt.Sprintf("f%d:#y%d", i, i))
	}
	require.True(t, tr.rejects("#x"))
	require.LessOrEqual(t, len(tr.losses), maxLosses)
}
