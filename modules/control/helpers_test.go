package control

import "log/slog"

const listenAddr = "127.0.0.1:17311"

var quiet = slog.New(slog.DiscardHandler)
