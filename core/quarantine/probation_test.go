package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
)

// reportCrash reports crash number n of the fleet, each on an upstream of its own.
func (f *fleet) reportCrash(n uint64, probation string, ran ...string) {
	f.now += ReportGrace.Milliseconds()
	f.apply(Command{Crash: &wire.CrashArgs{
		Upstream: fmt.Sprint("u", n), Incarnation: 1, CrashNumber: n, Fingerprints: ran, Probation: probation,
	}})
}

// drawNames draws at least the given number of distinct names.
func drawNames(t *rapid.T, least int) []string {
	all := rapid.Permutation([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "names")
	return all[:rapid.IntRange(least, len(all)).Draw(t, "count")]
}

func (f *fleet) quarantinedOf(list []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(n string) bool { return !f.quarantined(n) })
}

// Guards against a crashing request that is not quarantined because other suspects were
// running beside it, and against blaming suspects that had passed their probation.
func TestSuspectInProbationIsTheCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		ran := drawNames(t, 1)
		f.reportCrash(1, "", ran...)
		cause := rapid.SampledFrom(ran).Draw(t, "in probation")
		for n := range rapid.IntRange(0, 3).Draw(t, "shared crashes before") {
			if len(ran) > 1 {
				f.reportCrash(uint64(10+n), "", ran...)
			}
		}
		f.reportCrash(2, cause, ran...)
		assert.DeepEqual(t, f.quarantinedOf(ran), []string{cause})
	})
}

// Guards against a request that crashes upstreams late, after its probation, beside
// requests that are new or were cleared.
func TestSingleEarlierSuspectIsTheCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		ran := drawNames(t, 1)
		first := rapid.SampledFrom(ran).Draw(t, "suspect")
		f.reportCrash(1, "", first)
		f.reportCrash(2, "", ran...)
		assert.DeepEqual(t, f.quarantinedOf(ran), []string{first})
	})
}

// Guards against quarantining a whole batch that was running in two crashes, as when a
// rack fails, and against never identifying the crashing request among them.
func TestSeveralEarlierSuspectsAreNotTheCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		ran := drawNames(t, 3)
		f.reportCrash(1, "", ran...)
		both := ran[:rapid.IntRange(2, len(ran)-1).Draw(t, "again")]
		f.reportCrash(2, "", both...)
		assert.Equal(t, len(f.quarantinedOf(ran)), 0)
		cause := rapid.SampledFrom(both).Draw(t, "blamed")
		beside := append([]string{cause}, ran[len(both):]...)
		f.reportCrash(3, "", beside...)
		assert.DeepEqual(t, f.quarantinedOf(ran), []string{cause})
	})
}

// Guards against a probation that blocks an upstream for other suspects after it has
// ended, and against a suspect that is not cleared because its permit was returned before
// it finished.
func TestPassedProbationFreesTheUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		ran := drawNames(t, 2)
		f.reportCrash(1, "", ran...)
		requestPermit := func(name, id string) error {
			return f.apply(Command{Permit: &PermitRequest{Fingerprint: name, ID: wire.ID(id), Holder: "e", Upstream: "v"}}).Err
		}
		returnPermit := func(name string, passed, finished bool) {
			f.apply(Command{Return: &PermitReturn{Fingerprint: name, ID: wire.ID(name), Passed: passed, Finished: finished}})
		}
		for i, name := range ran {
			assert.NilError(t, requestPermit(name, name))
			assert.Assert(t, requestPermit(ran[(i+1)%len(ran)], "early") != nil)
			returnPermit(name, true, false)
			assert.Assert(t, f.suspect(name), "passing the probation must not clear a suspect")
		}
		for _, i := range rapid.Permutation(ran).Draw(t, "order of ends") {
			returnPermit(i, false, true)
			assert.Assert(t, !f.suspect(i))
		}
	})
}

// Guards against quarantining a request because machines failed during its probation: the
// agent on the machine does not run the request, and failed as well.
func TestMachineFailuresCountLess(t *testing.T) {
	f := newFleet()
	failMachine := func(upstream string) {
		f.now += ReportGrace.Milliseconds()
		f.apply(Command{Crash: &wire.CrashArgs{
			Upstream: upstream, Incarnation: 1, CrashNumber: wire.AgentCrashNumber, Fingerprints: []string{"honest"}, Probation: "honest",
		}})
	}
	f.reportCrash(1, "", "honest")
	failMachine("v1")
	assert.Assert(t, !f.quarantined("honest"), "after one engine crash and one machine failure")
	f.reportCrash(2, "honest", "honest")
	assert.Assert(t, f.quarantined("honest"), "after a second engine crash, in probation")

	f = newFleet()
	for i := range 3 {
		assert.Assert(t, !f.quarantined("honest"), "after %d machine failures", i)
		failMachine(fmt.Sprint("v", i))
	}
	assert.Assert(t, f.quarantined("honest"), "a request can also crash machines")
}

// Guards against quarantining a request when an engine pauses for the second time, and
// against a request that hangs one engine after another and is never quarantined.
func TestUnconfirmedCrashesCountLess(t *testing.T) {
	f := newFleet()
	for i := range 3 {
		assert.Assert(t, !f.quarantined("hangs"), "after %d unconfirmed crashes", i)
		f.now += ReportGrace.Milliseconds()
		f.apply(Command{Crash: &wire.CrashArgs{
			Upstream: fmt.Sprint("v", i), Incarnation: 1, CrashNumber: 1, Fingerprints: []string{"hangs"}, Probation: "hangs", Unconfirmed: true,
		}})
	}
	assert.Assert(t, f.quarantined("hangs"))
}
