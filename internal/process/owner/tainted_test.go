package owner_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonwing/internal/process/schedule"
)

// Parts of the prompts of the tests.
const (
	companyPart, teamPart, deadlyPart uint64 = 1001, 1002, 1003
	otherDeadlyPart                   uint64 = 1004
)

// ownPart returns a part that no other request has.
func ownPart(i int) uint64 { return uint64(1_000_000 + i) }

// deadlyTraffic returns requests whose part at position place crashes engines.
func deadlyTraffic(place int, part uint64, interval time.Duration) traffic {
	return traffic{gateways: []string{"a", "b", "c", "d"}, interval: interval, parts: func(int) []uint64 {
		parts := []uint64{companyPart, teamPart}
		return append(append(append([]uint64{}, parts[:place]...), part), parts[place:]...)
	}}
}

// soundTraffic returns requests that share their other parts with the deadly ones.
func soundTraffic() traffic {
	return traffic{gateways: []string{"d", "a", "c", "b"}, interval: 110 * time.Millisecond, parts: func(i int) []uint64 {
		return [][]uint64{{companyPart, ownPart(i)}, {companyPart, teamPart}, {teamPart}}[i%3]
	}}
}

// Guards against a part of a prompt that crashes one engine after the other, as no two of the
// requests that have it are alike.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	for place, name := range []string{"first", "second", "third"} {
		t.Run(name, func(t *testing.T) {
			withTaintedWorld(t, func(w *taintedWorld) {
				w.setDeadly(deadlyPart)
				start := time.Now()
				w.send(22*time.Second, start.Add(10*time.Second), deadlyTraffic(place, deadlyPart, 300*time.Millisecond), soundTraffic())
				w.checkPart(deadlyPart)
				for _, g := range []string{"a", "b", "c", "d"} {
					w.checkRun(schedule.ReasonCrashes, g, companyPart, deadlyPart)
				}
				w.checkSound()
			})
		})
	}
}

// Guards against a part that crashes engines without end, as each caller leaves before its engine crashes, and against a
// whole request without parts that does.
func TestGivenUpGenerationsThatCrashEnginesAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		interval time.Duration
		parts    []uint64
	}{
		"part":            {600 * time.Millisecond, []uint64{companyPart, deadlyPart}},
		"part, seldom":    {4 * time.Second, []uint64{companyPart, deadlyPart}},
		"whole, seldom":   {4 * time.Second, nil},
		"whole, repeated": {600 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			withTaintedWorld(t, func(w *taintedWorld) {
				w.setDeadly(deadlyPart, wholeRequest)
				w.patience = 400 * time.Millisecond
				list := []traffic{{gateways: []string{"a", "b", "c", "d"}, interval: c.interval, parts: func(int) []uint64 { return c.parts }}}
				w.send(40*time.Second, time.Now().Add(time.Hour), list...)
				time.Sleep(5 * time.Second)
				if c.parts == nil {
					w.checkPart(wholeRequest)
					return
				}
				w.checkPart(deadlyPart)
			})
		})
	}
}

// Guards against a part that crashes engines at the time when another one does, each of which
// hides the other.
func TestTwoPartsThatCrashEnginesAreRefused(t *testing.T) {
	withTaintedWorld(t, func(w *taintedWorld) {
		w.setDeadly(deadlyPart, otherDeadlyPart)
		start := time.Now()
		w.send(22*time.Second, start.Add(12*time.Second), deadlyTraffic(2, deadlyPart, 400*time.Millisecond),
			deadlyTraffic(1, otherDeadlyPart, 500*time.Millisecond), soundTraffic())
		w.checkPart(deadlyPart)
		w.checkPart(otherDeadlyPart)
		w.checkSound()
	})
}

// Guards against a gateway that was cut off or restarted while others learned of a part that
// crashes engines, and that sends it once more.
func TestGatewayLearnsOfPartsItMissed(t *testing.T) {
	for name, miss := range map[string]func(*taintedWorld, func()){
		"restarted": func(w *taintedWorld, meanwhile func()) {
			w.member("d").stop()
			w.gateways = w.gateways[:len(w.gateways)-1]
			meanwhile()
			w.startMember("d")
			time.Sleep(8 * time.Second)
		},
		"cut off": func(w *taintedWorld, meanwhile func()) {
			rest := []string{"address of a", "address of b", "address of c"}
			w.network.Cut([]string{"address of d"}, rest)
			meanwhile()
			w.network.Heal([]string{"address of d"}, rest)
			time.Sleep(8 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTaintedWorld(t, func(w *taintedWorld) {
				w.setDeadly(deadlyPart)
				miss(w, func() {
					there := deadlyTraffic(1, deadlyPart, 300*time.Millisecond)
					sound := soundTraffic()
					there.gateways, sound.gateways = []string{"a", "b", "c"}, []string{"c", "a", "b"}
					w.send(10*time.Second, time.Now().Add(time.Hour), there, sound)
				})
				for range 3 {
					w.checkRun(schedule.ReasonCrashes, "d", companyPart, deadlyPart)
				}
				w.checkPart(deadlyPart)
			})
		})
	}
}

// Guards against a part that crashes engines without end after all gateways have lost what
// they knew of it.
func TestPartIsRefusedAgainAfterAllGatewaysRestart(t *testing.T) {
	withTaintedWorld(t, func(w *taintedWorld) {
		w.setDeadly(deadlyPart)
		for round := range 2 {
			w.send(8*time.Second, time.Now().Add(time.Hour), deadlyTraffic(2, deadlyPart, 300*time.Millisecond), soundTraffic())
			w.checkPart(deadlyPart)
			if round > 0 {
				return
			}
			w.stop()
			w.gateways = nil
			w.startAll()
			w.mu.Lock()
			clear(w.losses)
			clear(w.sends)
			w.mu.Unlock()
		}
	})
}

// Guards against parts that count as the cause of losses which have another one: sound
// requests that share them would be refused.
func TestOtherLossesTaintNoPart(t *testing.T) {
	for name, disturb := range map[string]func(*taintedWorld){
		"kill of many engines": func(w *taintedWorld) {
			for range 4 {
				w.kill(w.engineNames[:6]...)
				time.Sleep(engineDownTime + time.Second)
			}
		},
		"engines killed one after the other": func(w *taintedWorld) {
			for _, e := range w.engineNames[:8] {
				w.crash(e)
				time.Sleep(700 * time.Millisecond)
			}
		},
		"silent engines": func(w *taintedWorld) {
			for i := range 3 {
				for _, e := range w.engineNames[3*i : 3*i+3] {
					w.engines.setSilent(e, true)
				}
				time.Sleep(4 * time.Second)
				for _, e := range w.engineNames[3*i : 3*i+3] {
					w.engines.setSilent(e, false)
				}
				time.Sleep(time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTaintedWorld(t, func(w *taintedWorld) {
				w.work.Go(func() { time.Sleep(2 * time.Second); disturb(w) })
				w.send(30*time.Second, time.Now().Add(22*time.Second), soundTraffic())
				for i, g := range []string{"a", "b", "c", "d"} {
					for _, p := range []uint64{companyPart, teamPart} {
						w.checkRun("", g, p, ownPart(i))
					}
				}
				w.checkSound()
			})
		})
	}
}

// Guards against a sound part that waits for its suspicion to expire: after one loss it is
// sound again as soon as engines write on it.
func TestSoundPartIsClearedByAnswers(t *testing.T) {
	withTaintedWorld(t, func(w *taintedWorld) {
		const part = 77
		w.work.Go(func() { w.checkRun("lost", "a", part, ownPart(0)) })
		time.Sleep(readTime / 2)
		w.kill(w.engineNames...)
		w.work.Wait()
		time.Sleep(2 * time.Second)
		w.checkRun("", "b", part, ownPart(1))
		w.checkRun("", "c", part, ownPart(2))
		started := time.Now()
		for i := range 8 {
			w.work.Go(func() { w.checkRun("", fmt.Sprintf("%c", 'a'+i%4), part, ownPart(10+i)) })
		}
		w.work.Wait()
		if took := time.Since(started); took > readTime+writeTime+100*time.Millisecond {
			w.t.Errorf("requests that share a sound part took %v together", took)
		}
	})
}

// Guards against sound requests that are refused for a first part that only most requests with a
// part that crashes engines share with them: trials can't tell the parts apart.
func TestPartsOfMostlyDeadlyRequestsStayInUse(t *testing.T) {
	withTaintedWorld(t, func(w *taintedWorld) {
		w.setDeadly(deadlyPart)
		deadly := deadlyTraffic(2, deadlyPart, 250*time.Millisecond)
		w.send(3*time.Second, time.Now().Add(time.Hour), deadly)
		sound := traffic{gateways: []string{"d", "a", "c", "b"}, interval: 2 * time.Second, parts: func(i int) []uint64 {
			return []uint64{companyPart, ownPart(i)}
		}}
		w.send(45*time.Second, time.Now(), deadly, sound)
		w.checkPart(deadlyPart)
		w.checkSound()
	})
}
