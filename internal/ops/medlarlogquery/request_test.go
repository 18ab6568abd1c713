package medlarlogquery

import "testing"

// TestExplainNamesRequests guards against a request that crashes replicas and cannot be recognized in the
// log when it comes again.
func TestExplainNamesRequests(t *testing.T) {
	assertExplained(t, `{"time":"2026-05-01T15:41:04Z","instance":"entry-1","event":"block","part":"request-5f","blocked":true,"crashes":3,"trials":0,"message":"part of prompts, or request, is blocked: it has crashed replicas"}
{"time":"2026-05-01T15:41:05Z","instance":"entry-1","event":"attempt","id":"a5","attempt":1,"replica":"r-2","cause":"retry","reason":"broken","reached":true,"took":80,"lost":true,"began":0,"prompt":[],"print":["request-5f","content-6a"],"size":12}
{"time":"2026-05-01T15:41:05Z","instance":"entry-1","event":"request","id":"a5","account":"acme","route":"r","service":"s","config":27,"status":503,"whole":true,"attempts":1,"replica":"r-2","reason":"crashing","ran":"no","part":"request-5f"}`, "a5",
		"request-5f: part of prompts, or request, is blocked: it has crashed replicas (crashes: 3, trials: 0)",
		"request request-5f content-6a with a body of 12 bytes",
		"blocked: request-5f")
}
