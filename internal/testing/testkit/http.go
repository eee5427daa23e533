package testkit

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// HTTPCall sends a request and returns the status code and body of the response. It ends the test on a transport error. The request
// is canceled when the test ends.
func HTTPCall(t testing.TB, method, url, body string) (code int, text string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(content)
}
