package cost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/fleet"
	"saffronyard.example/saffronyard/internal/faulttest/traffic"
)

// Proxy measures a plain reverse proxy, started by command with the receiver's address in its environment.
func Proxy(ctx context.Context, command []string, c Case) (Result, error) {
	good, err := newInstantReceiver(false)
	if err != nil {
		return Result{}, err
	}
	defer good.l.Close()
	listen, err := fleet.FreeAddr("127.0.0.1")
	if err != nil {
		return Result{}, err
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "PROXY_LISTEN="+listen, "PROXY_TO="+good.l.Addr().String())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return Result{}, err
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
	}()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := dial(listen)
		if err == nil {
			conn.Close()
			break
		}
		if time.Now().After(end) {
			return Result{}, fmt.Errorf("cost: the proxy does not listen: %w", err)
		}
	}
	body := make([]byte, c.Body)
	return measure(ctx, c, listen, cmd.Process.Pid, good, func(n int64) []byte {
		return traffic.Submission{ID: strconv.FormatInt(n, 16), Class: "safe", Tenant: "acme", Deadline: 20 * time.Second, Body: body}.Request()
	}, 200)
}

// RunProxy runs the proxy in its own process: httputil.ReverseProxy on one core, without a journal.
func RunProxy(ctx context.Context) error {
	runtime.GOMAXPROCS(1)
	to := &url.URL{Scheme: "http", Host: os.Getenv("PROXY_TO")}
	p := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	l, err := net.Listen("tcp", os.Getenv("PROXY_LISTEN"))
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	s := &http.Server{Handler: p}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
