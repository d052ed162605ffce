package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// runMainVariable makes the test binary run the command itself.
const runMainVariable = "BUCKTHORNDRUM_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// ownAddress returns a loopback address that no other process uses, so that all its ports are
// free.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// A router goes on when nobody reads its log any more. The next line ended the process by
// SIGPIPE, and all streams with it.
func TestProcessOutlivesReaderOfItsLog(t *testing.T) {
	raw, err := os.ReadFile("../../platform/testdata/settings.conf")
	if err != nil {
		t.Fatal(err)
	}
	ip := ownAddress()
	front := ip + ":7380"
	changes := map[string]string{"ip": ip, "listen.front": front, "listen.ready": ip + ":7381", "platform.address": ip + ":1"}
	lines := strings.Split(string(raw), "\n")
	for i, line := range lines {
		name, _, _ := strings.Cut(line, "=")
		if value, ok := changes[name]; ok {
			lines[i] = name + "=" + value
		}
	}
	path := filepath.Join(t.TempDir(), "settings.conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "platform", "-boot", path)
	cmd.Env = append(os.Environ(), runMainVariable+"=1")
	cmd.Stderr = os.Stderr
	log, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	for read := bufio.NewScanner(log); read.Scan() && !strings.Contains(read.Text(), "serving callers"); {
	}
	_ = log.Close()
	for n := range 5 {
		resp, err := (&http.Client{Timeout: 3 * time.Second}).Get("http://" + front + "/")
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		_ = resp.Body.Close()
		time.Sleep(50 * time.Millisecond)
	}
}
