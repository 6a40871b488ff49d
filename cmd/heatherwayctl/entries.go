package main

import (
	"context"
	"flag"
	"log/slog"

	"github.com/go-faster/errors"

	"heatherway.dev/core/slo"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// entryFlags holds the flags that name the entries whose snapshots are fetched
// over net/rpc.
type entryFlags struct {
	addrs urlList
	tls   peer.TLSSettings
}

func (e *entryFlags) register(flags *flag.FlagSet) {
	flags.Var(&e.addrs, "entry", "internal address of an entry; repeat it or separate by commas for several")
	flags.StringVar(&e.tls.CA, "ca", "", "file of the certificate authority; without it the entries are called without TLS")
	flags.StringVar(&e.tls.Cert, "cert", "", "file of the operator's certificate")
	flags.StringVar(&e.tls.Key, "key", "", "file of the key of --cert")
}

// merge adds the snapshots of the entries to a snapshot.
func (e *entryFlags) merge(ctx context.Context, all slo.Snapshot) (slo.Snapshot, error) {
	if len(e.addrs) == 0 {
		return all, nil
	}
	settings := e.tls
	settings.Off = settings == peer.TLSSettings{}
	security, err := peer.NewSecurity(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		return all, result.Wrap(result.Usage, err, "cannot load --ca, --cert or --key")
	}
	for _, addr := range e.addrs {
		one, err := fetchSnapshot(ctx, security, addr)
		if err != nil {
			return all, errors.Wrap(err, "entry "+addr+"; check --entry, which is an internal address, and the TLS files")
		}
		all = slo.Merge(all, one)
	}
	return all, nil
}

func fetchSnapshot(ctx context.Context, security *peer.Security, addr string) (slo.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	client := security.NewClient(addr)
	defer client.Close()
	var r wire.EntryReportReply
	if err := client.Call(ctx, wire.EntryService+".Report", wire.EntryReportArgs{}, &r); err != nil {
		return slo.Snapshot{}, err
	}
	return slo.Decode(r.Report)
}
