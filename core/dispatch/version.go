package dispatch

import "heatherway.dev/core/registration"

// This file keeps a stream at upstreams of the software version that began it: what two versions
// write doesn't fit together.

// version returns the software version of an upstream, or an empty one if no upstream of its
// service states any.
func (f *Fleet) version(u *upstream) string {
	if f.statedVersions[u.Service] == 0 {
		return ""
	}
	return u.SoftwareVersion()
}

// hasVersion reports whether an upstream runs a software version; an empty one stands for any.
func (f *Fleet) hasVersion(u *upstream, version string) bool {
	return version == "" || u.SoftwareVersion() == version
}

// HasReady reports whether an upstream of a software version is ready.
func (f *Fleet) HasReady(service, version string) bool {
	for _, u := range f.byService[service] {
		if u.State == registration.Ready && !u.Leaving && f.hasVersion(u, version) {
			return true
		}
	}
	return false
}

// Unversioned reports whether upstreams of a service are known and none states a version.
func (f *Fleet) Unversioned(service string) bool {
	return len(f.byService[service]) > 0 && f.statedVersions[service] == 0
}
