package cli

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// progress shows a progress bar if its writer is a terminal, and nothing otherwise.
type progress struct {
	w   io.Writer
	tty bool

	mu   sync.Mutex
	name string
	bar  *progressbar.ProgressBar
}

func newProgress(w io.Writer) *progress {
	f, ok := w.(*os.File)
	return &progress{w: w, tty: ok && term.IsTerminal(int(f.Fd()))}
}

func (p *progress) show(name string, elapsed, total time.Duration, requests, tokens int) {
	if !p.tty {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bar == nil || p.name != name {
		p.name = name
		p.bar = progressbar.NewOptions64(total.Milliseconds(),
			progressbar.OptionSetWriter(p.w),
			progressbar.OptionClearOnFinish(),
			progressbar.OptionSetPredictTime(false),
		)
	}
	p.bar.Describe(fmt.Sprintf("%s: %d requests ended, %d tokens", name, requests, tokens))
	_ = p.bar.Set64(min(elapsed, total).Milliseconds())
}

func (p *progress) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
