package sloreport

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/slo"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

func report() slo.Report {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := slo.NewRecorder(start, func(slo.SeriesKey) slo.Objective { return slo.Objective{Target: time.Second, Share: 0.9} })
	for i := range 300 {
		at := start.Add(time.Duration(i) * time.Minute)
		code := slo.OK
		if i%17 == 0 {
			code = result.QueueFull
		}
		r.Record(at, slo.Sample{
			Class: wire.Classes()[i%wire.ClassCount], Organisation: fmt.Sprintf("<b>%d", i%60),
			FirstToken: time.Duration(i*i) * 20 * time.Microsecond, Code: code,
		})
	}
	return slo.BuildReport(r.Snapshot(start.Add(5*time.Hour)), 5)
}

// Guards against a page that loads other files or runs scripts, doesn't escape
// markup in a name, or has an unclosed element.
func TestPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, Write(&b, report(), HTML))
	text := b.String()
	for _, bad := range []string{"<script", "src=", "href=", "url(", "@import", "<b>", "NaN", "Inf", "ZgotmplZ"} {
		assert.Assert(t, !strings.Contains(text, bad), "the page contains %q", bad)
	}
	body := text[strings.Index(text, "<body>"):strings.Index(text, "</html>")]
	d := xml.NewDecoder(strings.NewReader(body))
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
	}
	assert.Equal(t, strings.Count(text, "<svg"), 3*wire.ClassCount)
	assert.Assert(t, strings.Contains(text, "4290 queue_full"))
	assert.Assert(t, strings.Contains(text, "10 organisations with more budget left"))
}

// Guards against JSON that omits organisations, and text without causes.
func TestTextAndJSON(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, Write(&b, report(), JSON))
	var back slo.Report
	assert.NilError(t, json.Unmarshal(b.Bytes(), &back))
	assert.Equal(t, len(back.Organisations), 60)
	b.Reset()
	assert.NilError(t, Write(&b, report(), Text))
	assert.Assert(t, strings.Contains(b.String(), "4290 queue_full ×"))
}

// Guards against a report that can't be rendered for an entry that has served no
// request yet.
func TestEmptyReport(t *testing.T) {
	for _, f := range []Format{Text, JSON, HTML} {
		assert.NilError(t, Write(io.Discard, slo.BuildReport(slo.Snapshot{}, 5), f))
	}
}
