package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/membership"
)

// The load that the choice of a server answers: many gateways, few servers, one in each data centre, whose speed
// changes, and demand that moves between the data centres in waves.
const (
	// Gateways, and data centres with one server each, which has slots and room for waiting calls.
	choosers, places, slots, queue = 60, 4, 6, 24
	// work is the mean time of a call in a slot.
	work = 30 * time.Millisecond
	// In each noisePeriod a server takes noiseFactor times as long, with the probability noiseShare.
	noiseShare, noiseFactor = 0.15, 2.5
	noisePeriod             = 600 * time.Millisecond
	// wave is the amplitude of the demand of a data centre as a share of its mean.
	wave, wavePeriod = 0.55, 8 * time.Second
	// hop is the time between a gateway and a server, one way, and refusalPause that until a refused call is sent again.
	hop, refusalPause = 1500 * time.Microsecond, 20 * time.Millisecond
	// passPeriod is the time between two statements of a server that a gateway hears from others.
	passPeriod = 100 * time.Millisecond
	// The figures leave out warmUp, the first part of length.
	warmUp, length = 2 * time.Second, 26 * time.Second
)

// policy is one gateway's way to choose. choose returns the server and a function that is called when it has
// answered; learn passes on what a server states.
type policy interface {
	choose(now time.Time, home int, random *rand.Rand) (server int, ended func(at time.Time, ok bool))
	learn(now time.Time, server int, s Statement)
}

// fewest sends to the server with the fewest own requests, the own data centre's first.
type fewest struct{ set *health.Set }

func (p *fewest) choose(now time.Time, home int, _ *rand.Rand) (int, func(time.Time, bool)) {
	var list []membership.Backend
	for i := range places {
		list = append(list, membership.Backend{Name: string(rune('a' + (home+i)%places)), Accepting: true})
	}
	b, done, _ := p.set.Pick(now, list, nil, nil)
	return int(b.Name[0] - 'a'), func(at time.Time, ok bool) {
		if ok {
			done(at, health.Success)
		} else {
			done(at, health.Failure)
		}
	}
}

func (p *fewest) learn(time.Time, int, Statement) {}

// reported decides by the statements alone: by the best of tries servers.
type reported struct {
	tries int
	last  [places]Statement
	// now is set if the statements are of the moment of the choice, which none can be: the bound for all others.
	now func(server int) Statement
}

func (p *reported) choose(_ time.Time, _ int, random *rand.Rand) (int, func(time.Time, bool)) {
	best := -1
	for _, i := range random.Perm(places)[:p.tries] {
		if p.now != nil {
			p.last[i] = p.now(i)
		}
		if l := p.last[i]; best < 0 || l.Running+l.Waiting < p.last[best].Running+p.last[best].Waiting {
			best = i
		}
	}
	return best, func(time.Time, bool) {}
}

func (p *reported) learn(_ time.Time, i int, s Statement) { p.last[i] = s }

// expected is Loads, with the own data centre preferred or not.
type expected struct {
	loads  *Loads
	nearby bool
}

func (p *expected) choose(now time.Time, home int, random *rand.Rand) (int, func(time.Time, bool)) {
	var list []Candidate
	for i := range places {
		list = append(list, Candidate{Name: string(rune('a' + i)), Home: p.nearby && i == home, Share: 1})
	}
	server := random.IntN(places)
	if c, ok := p.loads.Choose(now, list, Need{Target: 5 * work, Left: time.Second}, random.Float64()); ok {
		server = c.Index
	}
	ended := p.loads.Sent(now, list[server].Name, 0)
	return server, func(at time.Time, ok bool) {
		if ok {
			ended(at.Sub(now))
		} else {
			ended(0)
		}
	}
}

func (p *expected) learn(now time.Time, i int, s Statement) {
	p.loads.Learn(now, string(rune('a'+i)), 0, s)
}

// call is one call. Its work is known when it begins.
type call struct {
	chooser, home, server int
	arrived               time.Time
	work                  time.Duration
	ended                 func(time.Time, bool)
}

// event is what happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// figures are the result of a run.
type figures struct {
	uneven   float64 // share of the time in which one server queues while another has a free slot
	p50, p99 time.Duration
	refused  float64 // refusals by full servers for each call
	away     float64 // share of the calls that leave their data centre
}

func (f figures) String() string {
	return fmt.Sprintf("%6.3f %6.0f %6.0f %8.4f %6.2f", f.uneven, f.p50.Seconds()*1e3, f.p99.Seconds()*1e3, f.refused, f.away)
}

// read is a statement in an answer to a gateway.
type read struct {
	at time.Time
	Statement
}

// play runs one policy at a load, as a share of what the servers can do. Each gateway hears each server's load every
// period, at its own moment, and in the answers to its calls. A negative period is the time after which a gateway can hear
// what others have read, every passPeriod.
//
// It is an agenda of five kinds of events: a call arrives, begins, or is answered, a server's speed changes, and a gateway
// hears a statement. Arrivals, work and speeds come from the seed alone, so that all policies get the same load.
func play(load float64, period time.Duration, seed uint64, newPolicy func(now func(int) Statement) policy) figures {
	// Calls, their work and the servers' speeds are the same for all policies.
	demand, speeds, random := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	var (
		plan     agenda
		start    = time.Unix(0, 0)
		end      = start.Add(length)
		gateways [choosers]policy
		running  [places]int
		waiting  [places][]*call
		slow     = [places]float64{1, 1, 1, 1}
		took     []time.Duration
		f        figures
		calls    int
		last     = start
		heard    [places][]read // by any gateway
		every    = period
	)
	if period < 0 {
		every = passPeriod
	}
	at := func(t time.Time, do func(time.Time)) { heap.Push(&plan, event{t, do}) }
	after := func(mean time.Duration) time.Duration { return time.Duration(demand.ExpFloat64() * float64(mean)) }
	state := func(i int) Statement {
		return Statement{Running: running[i], Waiting: len(waiting[i]), Slots: slots, Slowdown: slow[i]}
	}
	var begin func(now time.Time, c *call)
	answer := func(now time.Time, c *call, ok bool, then func(time.Time)) {
		s := state(c.server)
		at(now.Add(hop), func(now time.Time) {
			gateways[c.chooser].learn(now, c.server, s)
			heard[c.server] = append(heard[c.server], read{now, s})
			c.ended(now, ok)
			then(now)
		})
	}
	begin = func(now time.Time, c *call) {
		running[c.server]++
		at(now.Add(time.Duration(slow[c.server]*float64(c.work))), func(now time.Time) {
			running[c.server]--
			answer(now, c, true, func(now time.Time) {
				if now.Sub(start) > warmUp {
					took = append(took, now.Sub(c.arrived))
				}
			})
			if q := waiting[c.server]; len(q) > 0 {
				waiting[c.server] = q[1:]
				begin(now, q[0])
			}
		})
	}
	var send func(now time.Time, c *call)
	send = func(now time.Time, c *call) {
		c.server, c.ended = gateways[c.chooser].choose(now, c.home, random)
		if c.server != c.home {
			f.away++
		}
		at(now.Add(hop), func(now time.Time) {
			switch {
			case running[c.server] < slots:
				begin(now, c)
			case len(waiting[c.server]) < queue:
				waiting[c.server] = append(waiting[c.server], c)
			default:
				f.refused++
				answer(now, c, false, func(now time.Time) { at(now.Add(refusalPause), func(now time.Time) { send(now, c) }) })
			}
		})
	}
	capacity := places * slots / (work.Seconds() * (1 + noiseShare*(noiseFactor-1)))
	for home := range places {
		var arrive func(time.Time)
		arrive = func(now time.Time) {
			calls++
			// Half of the work is the same for all calls.
			send(now, &call{chooser: home + places*demand.IntN(choosers/places), home: home, arrived: now, work: work/2 + after(work/2)})
			phase := 2*math.Pi*float64(now.Sub(start))/float64(wavePeriod) + 2*math.Pi*float64(home)/places
			rate := load * capacity / places * (1 + wave*math.Sin(phase))
			at(now.Add(after(time.Duration(float64(time.Second)/rate))), arrive)
		}
		at(start, arrive)
		var vary func(time.Time)
		vary = func(now time.Time) {
			slow[home] = 1
			if speeds.Float64() < noiseShare {
				slow[home] = noiseFactor
			}
			at(now.Add(noisePeriod), vary)
		}
		at(start.Add(time.Duration(home)*noisePeriod/places), vary)
	}
	for i := range gateways {
		gateways[i] = newPolicy(state)
		var hear func(time.Time)
		hear = func(now time.Time) {
			for s := range places {
				if period > 0 {
					gateways[i].learn(now, s, state(s))
					continue
				}
				newest := sort.Search(len(heard[s]), func(j int) bool { return heard[s][j].at.After(now.Add(period)) }) - 1
				if p, ok := gateways[i].(*expected); ok && newest >= 0 {
					p.loads.Hear(heard[s][newest].at, string(rune('a'+s)), 0, heard[s][newest].Statement)
				}
			}
			at(now.Add(every), hear)
		}
		if period != 0 {
			at(start.Add(time.Duration(random.Int64N(int64(every)))), hear)
		}
	}
	for {
		e := heap.Pop(&plan).(event)
		if e.at.After(end) {
			break
		}
		if slices.Max([]int{len(waiting[0]), len(waiting[1]), len(waiting[2]), len(waiting[3])}) > 0 && slices.Min(running[:]) < slots && e.at.Sub(start) > warmUp {
			f.uneven += float64(e.at.Sub(last)) / float64(length-warmUp)
		}
		last = e.at
		e.do(e.at)
	}
	slices.Sort(took)
	f.p50, f.p99 = took[len(took)/2], took[len(took)*99/100]
	f.refused /= float64(calls)
	f.away /= float64(calls)
	return f
}

// seeds is the number of runs of which the mean is taken.
const seeds = 4

func mean(load float64, period time.Duration, newPolicy func(func(int) Statement) policy) (f figures) {
	for seed := range uint64(seeds) {
		one := play(load, period, seed, newPolicy)
		f.uneven += one.uneven / seeds
		f.p50 += one.p50 / seeds
		f.p99 += one.p99 / seeds
		f.refused += one.refused / seeds
		f.away += one.away / seeds
	}
	return f
}

// policies are compared by TestEvenLoad. The first is the baseline and the last is used.
var policies = []struct {
	name string
	make func(now func(server int) Statement) policy
}{
	{"fewest own requests", func(func(int) Statement) policy { return &fewest{health.NewSet(health.DefaultOptions())} }},
	{"any, at random", func(func(int) Statement) policy { return &reported{tries: 1} }},
	{"least at the moment", func(now func(int) Statement) policy { return &reported{tries: places, now: now} }},
	{"least stated", func(func(int) Statement) policy { return &reported{tries: places} }},
	{"better of two stated", func(func(int) Statement) policy { return &reported{tries: 2} }},
	{"expected free, all alike", func(func(int) Statement) policy { return &expected{loads: NewLoads()} }},
	{"expected free, home first", func(func(int) Statement) policy { return &expected{loads: NewLoads(), nearby: true} }},
}

// ages are the times between two statements of a server that reach a gateway, beside those in answers to its own
// calls; 0 means that there are no others.
var ages = []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second}

// passed are the times after which a gateway hears what others have read, as negative periods.
var passed = []time.Duration{-50 * time.Millisecond, -100 * time.Millisecond, -200 * time.Millisecond}

// TestPolicyTable logs the comparison in docs/design/even-load.md. It guards against nothing.
func TestPolicyTable(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("only logs a table, with -v")
	}
	for _, age := range append(ages, passed...) {
		for _, load := range []float64{0.3, 0.5, 0.8} {
			t.Logf("statements every %v, load %.1f: uneven, p50, p99 in ms, refusals a call, away", age, load)
			for _, p := range policies {
				t.Logf("%-28s%v", p.name, mean(load, age, p.make))
			}
		}
	}
}

// Guards against servers that are overrun in turns while others idle, where the fewest own requests choose nearly
// blindly: the choice must be better than that, whatever the load and the age of statements.
func TestEvenerThanFewestOwn(t *testing.T) {
	for _, age := range append(ages, passed...) {
		for _, load := range []float64{0.3, 0.5, 0.8} {
			before, after := mean(load, age, policies[0].make), mean(load, age, policies[len(policies)-1].make)
			if after.uneven >= before.uneven || after.p99 >= before.p99 || after.p50 > before.p50 {
				t.Errorf("statements every %v, load %.1f: uneven %.3f, p50 %v and p99 %v, with fewest own requests %.3f, %v and %v",
					age, load, after.uneven, after.p50, after.p99, before.uneven, before.p50, before.p99)
			}
		}
	}
}

// The goals at 80% load: the share of uneven time, the 99th percentile and the refusals against today's.
const goalUneven, goalP99, goalRefused = 0.25, 0.7, 0.5

// Guards against a choice that falls short of the operators' goals.
func TestEvenLoadGoals(t *testing.T) {
	before := mean(0.8, 0, policies[0].make)
	for _, age := range ages[1:] {
		after := mean(0.8, age, policies[len(policies)-1].make)
		if after.uneven > goalUneven*before.uneven || float64(after.p99) > goalP99*float64(before.p99) || after.refused > goalRefused*before.refused {
			t.Errorf("statements every %v: uneven %.3f of %.3f, p99 %v of %v, refusals %.5f of %.5f", age, after.uneven, before.uneven, after.p99, before.p99, after.refused, before.refused)
		}
	}
}
