package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testLog = `level=info part=servers ts=2026-12-04T10:00:00Z process=g1 msg="server changed" server=i-old service=m leaving=true
level=info part=servers ts=2026-12-04T10:00:08Z process=g1 msg="server changed" server=i-1 service=m leaving=true
level=info part=servers ts=2026-12-04T10:00:08Z process=g1 msg="server changed" server=i-2 service=m leaving=false
level=info part=servers ts=2026-12-04T10:00:08Z process=g2 msg="server changed" server=i-1 service=m leaving=true
level=info part=request ts=2026-12-04T10:00:05.5Z process=g1 id=r1 route=plan msg=placed backend=i-1 reason=least_load
level=info part=request ts=2026-12-04T10:00:06Z process=g1 id=r2 route=plan msg=placed backend=i-1 reason=least_load
level=warn part=store ts=2026-12-04T10:00:08.5Z process=g1 msg="store lost" table=op err="store feed: store answers 503"
level=warn part=request ts=2026-12-04T10:00:09.25Z process=g1 msg="answer broken off" id=r1 code=backend_lost backend=i-1 err="unexpected EOF"
panic: something else
level=info part=gateway ts=2026-12-04T10:00:30Z process=g1 msg=stopped err=null
`

// Guards against an explanation that omits the line with the cause or contains lines of
// unrelated requests, servers, hosts and times.
func TestFromLogs(t *testing.T) {
	is := is.New(t)
	lines, unparsed, err := FromLogs("r1", strings.NewReader(testLog))
	is.NoErr(err)
	is.Equal(unparsed, 1)
	var got []string
	for _, l := range lines {
		mark := ""
		if l.Context {
			mark = "(context) "
		}
		got = append(got, mark+l.Part+" "+l.Message)
	}
	is.Equal(got, []string{"request placed", "(context) servers server changed", "(context) store store lost", "request answer broken off"})
	is.Equal(lines[3].Fields, []string{"code=backend_lost", "backend=i-1", `err="unexpected EOF"`})
}

// Guards against logs of several processes that are not merged by time, and against a log
// format that the settings allow but FromLogs does not read.
func TestFromLogsOfTwoProcesses(t *testing.T) {
	is := is.New(t)
	a := `{"level":"info","part":"request","ts":"2026-12-04T10:00:02Z","process":"g2","id":"r1","msg":"answered","events":3}`
	b := `level=info part=request ts=2026-12-04T10:00:01Z process=g1 id=r1 msg=refused status=503`
	lines, unparsed, err := FromLogs("r1", strings.NewReader(a), strings.NewReader(b))
	is.NoErr(err)
	is.Equal(unparsed, 0)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Process, "g1")
	is.Equal(lines[1].Fields, []string{"events=3"})
}

// Guards against returning context lines when no line concerns the request.
func TestFromLogsWithoutTheRequest(t *testing.T) {
	is := is.New(t)
	lines, _, err := FromLogs("r9", strings.NewReader(testLog))
	is.NoErr(err)
	is.Equal(len(lines), 0)
	_, _, err = FromLogs("r9", strings.NewReader(strings.Repeat("x", 2*maxLogLine)))
	is.True(err != nil)
}

// Guards against input on which parseLine panics.
func FuzzParseLine(f *testing.F) {
	for _, l := range strings.Split(testLog, "\n") {
		f.Add([]byte(l))
	}
	f.Add([]byte(`{"ts":1,"id":{}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if l, ok := parseLine(raw); ok && l.At.IsZero() {
			t.Fatal("a line without a timestamp was accepted")
		}
	})
}

// Guards against an explanation that omits grants refused by an arbiter, which explain a
// long wait.
func TestFromLogsOfTheScheduler(t *testing.T) {
	is := is.New(t)
	log := `level=info part=scheduler ts=2026-12-04T10:00:01Z process=g1 msg="grant refused by arbiter" id=r1-0-0 engine=i-1 arbiter=g2
level=info part=scheduler ts=2026-12-04T10:00:01Z process=g1 msg="grant refused by arbiter" id=r11-0-0 engine=i-3 arbiter=g2
level=info part=other ts=2026-12-04T10:00:01Z process=g1 msg=unrelated id=r1-0-0
level=info part=request ts=2026-12-04T10:00:02Z process=g1 id=r1 msg=placed backend=i-2
`
	lines, _, err := FromLogs("r1", strings.NewReader(log))
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Message, "grant refused by arbiter")
	is.True(!lines[0].Context)
}
