package queue

import (
	"time"

	"heatherway.dev/core/speed"
)

// Speeds estimates how fast each upstream reads prompts.
type Speeds interface {
	// FirstEvent records that a prompt was read in a time; beside is the number of prompts that
	// may have been read before it in that time.
	FirstEvent(now time.Time, id string, promptTokens int, took time.Duration, beside int)
	// PrefillMS returns the expected time in milliseconds to read a number of tokens.
	PrefillMS(now time.Time, id string, tokens float64) float64
	// Forget drops what is known about an upstream.
	Forget(id string)
}

const (
	// priorTokensPerMS applies until there are samples: a model of 70 billion parameters on
	// current accelerators.
	priorTokensPerMS = 8
	// minSampleTokens is the smallest prompt whose time says something about the speed; that of
	// a smaller one is mostly the time that messages travel.
	minSampleTokens = 64
)

// newSpeeds returns the estimator that applies if the settings name none.
func newSpeeds() Speeds { return speed.New(speed.Settings{TokensPerMS: priorTokensPerMS}) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
