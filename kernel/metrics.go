package kernel

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/peer"
)

// metricsIdleTimeout is how long a scraper may leave its connection idle; scrapes are less than
// a minute apart.
const metricsIdleTimeout = 2 * time.Minute

func (k *Kernel) serveMetrics() error {
	if k.settings.Metrics.Listen == "" {
		return nil
	}
	l, err := k.ctx.Listen(k.settings.Metrics.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", k.ctx.Stats)
	for path, h := range k.reports {
		mux.Handle("GET "+path, h)
	}
	srv := peer.NewServer(context.Background(), mux)
	srv.ReadTimeout, srv.IdleTimeout = peer.ReadHeaderTimeout, metricsIdleTimeout // requests have no body
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			k.ctx.Log.Debug("metrics listener closed", "error", err)
		}
	}()
	return nil
}
