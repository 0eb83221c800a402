package owner_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonwing/internal/process/schedule"
)

// Calls of the tests.
const deadlyCall, otherDeadlyCall, popularCall, rareCall uint64 = 2001, 2002, 2003, 2004

var fourGateways = []string{"a", "b", "c", "d"}

func repeated(part uint64, interval time.Duration, gateways ...string) callTraffic {
	return callTraffic{part: func(int) uint64 { return part }, interval: interval, gateways: gateways}
}

// soundCalls returns calls of which some are equal, often or seldom, and the others are not.
func soundCalls(gateways ...string) []callTraffic {
	return []callTraffic{
		repeated(popularCall, 40*time.Millisecond, gateways...),
		repeated(rareCall, 2700*time.Millisecond, gateways...),
		{part: func(i int) uint64 { return uint64(5_000_000 + i) }, interval: 50 * time.Millisecond, gateways: gateways},
	}
}

// Guards against a call that crashes each server that runs it and is sent on without end, whichever
// gateways get its repeats and however fast, and against refusing the calls that its crashes hit.
func TestCallsThatCrashServersAreRefused(t *testing.T) {
	for _, interval := range []time.Duration{4500 * time.Millisecond, 700 * time.Millisecond, 90 * time.Millisecond} {
		t.Run(fmt.Sprint(interval), func(t *testing.T) {
			withCallWorld(t, func(w *callWorld) {
				w.makeDeadly(deadlyCall)
				w.sendCalls(40*time.Second, append(soundCalls(fourGateways...), repeated(deadlyCall, interval, fourGateways...))...)
				w.checkDeadly(deadlyCall, 3)
				w.checkSound()
				for _, g := range fourGateways {
					if got := w.call(g, deadlyCall); got != schedule.ReasonCrashes {
						t.Errorf("deadly call at %s: %q", g, got)
					}
				}
			})
		})
	}
}

// Guards against calls that hide each other because the servers that they crash are the same, and
// against equal calls that reach all gateways at the same moment.
func TestCallsThatCrashServersTogether(t *testing.T) {
	withCallWorld(t, func(w *callWorld) {
		w.makeDeadly(deadlyCall, otherDeadlyCall)
		w.sendCalls(40*time.Second, append(soundCalls(fourGateways...), repeated(deadlyCall, 900*time.Millisecond, fourGateways...), repeated(otherDeadlyCall, time.Second, fourGateways...))...)
		w.checkDeadly(deadlyCall, 4)
		w.checkDeadly(otherDeadlyCall, 4)
		w.checkSound()
	})
	withCallWorld(t, func(w *callWorld) {
		w.makeDeadly(deadlyCall)
		for range 5 {
			for _, g := range fourGateways {
				w.work.Go(func() { w.call(g, deadlyCall) })
			}
			time.Sleep(5 * time.Second)
		}
		w.work.Wait()
		w.checkDeadly(deadlyCall, len(fourGateways)+1) // each gateway has sent it before the first crash
	})
}

// Guards against refusing sound calls for servers that end for other reasons.
func TestOtherEndsOfServersRefuseNoCalls(t *testing.T) {
	for name, disturb := range map[string]func(*callWorld){
		"all at once, again and again": func(w *callWorld) {
			for range 6 {
				w.end("s0", "s1", "s2", "s3")
				time.Sleep(serverDownTime + 500*time.Millisecond)
			}
		},
		"one after the other": func(w *callWorld) {
			for i := range 30 {
				w.end(fmt.Sprint("s", i%4))
				time.Sleep(900 * time.Millisecond)
			}
		},
		"up and down by turns": func(w *callWorld) {
			for range 8 {
				w.end("s0", "s1", "s2")
				time.Sleep(serverDownTime + 70*time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCallWorld(t, func(w *callWorld) {
				w.work.Go(func() { time.Sleep(2 * time.Second); disturb(w) })
				w.sendCalls(30*time.Second, soundCalls(fourGateways...)...)
				w.checkSound()
				for _, g := range fourGateways {
					for _, part := range []uint64{popularCall, rareCall} {
						if got := w.call(g, part); got != "" {
							t.Errorf("sound call at %s: %q", g, got)
						}
					}
				}
			})
		})
	}
}

// Guards against a gateway that was restarted or cut off while the others learned of a call that
// crashes servers, and that sends it on.
func TestGatewayLearnsOfCallsItMissed(t *testing.T) {
	for name, miss := range map[string]func(*callWorld, func()){
		"restarted": func(w *callWorld, meanwhile func()) {
			w.member("d").stop()
			w.gateways = w.gateways[:len(w.gateways)-1]
			meanwhile()
			w.startMember("d")
			time.Sleep(8 * time.Second)
		},
		"cut off": func(w *callWorld, meanwhile func()) {
			rest := []string{"address of a", "address of b", "address of c"}
			w.network.Cut([]string{"address of d"}, rest)
			meanwhile()
			w.network.Heal([]string{"address of d"}, rest)
			time.Sleep(8 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCallWorld(t, func(w *callWorld) {
				w.makeDeadly(deadlyCall)
				miss(w, func() {
					w.sendCalls(12*time.Second, append(soundCalls("a", "b", "c"), repeated(deadlyCall, 2*time.Second, "a", "b", "c"))...)
				})
				for range 3 {
					if got := w.call("d", deadlyCall); got != schedule.ReasonCrashes {
						t.Errorf("deadly call at the gateway: %q", got)
					}
				}
				w.checkDeadly(deadlyCall, 3)
				w.checkSound()
			})
		})
	}
}

// Guards against refusing a sound call that was lost with a server which ended for another reason,
// and then at one at which a call that crashes servers was tried at the same time.
func TestTrialsOfCallsDoNotMeet(t *testing.T) {
	withCallWorld(t, func(w *callWorld) {
		for i := range 30 {
			sound, deadly := uint64(7000+i), uint64(8000+i)
			w.makeDeadly(deadly)
			w.work.Go(func() { w.callOnce("a", sound) })
			time.Sleep(callTime / 4)
			w.end("s0", "s1")
			time.Sleep(2 * time.Second) // so that the two losses do not count as one
			w.work.Go(func() { w.call("b", deadly) })
			time.Sleep(callTime / 3) // the deadly call is on its second server
			w.work.Go(func() { w.callOnce("a", sound) })
			time.Sleep(2*serverDownTime + time.Second)
			if got := w.call("c", sound); got != "" {
				t.Errorf("round %d: sound call: %q", i, got)
			}
		}
		w.work.Wait()
	})
}
