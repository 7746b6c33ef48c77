package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// unframedPart is the time between the two parts of an answer of serveUnframed.
const unframedPart = 400 * time.Millisecond

// wholeAnswer returns the body with which serveUnframed answers an attempt.
func wholeAnswer(attempt string) string {
	return "balance of card " + attempt + ": " + strings.Repeat("0123456789", 40) + "\n" + "end of balance " + attempt + "\n"
}

// serveUnframed is an endpoint in a process of its own. It prints its address. Its answers have no length: they carry Connection: close
// and end with their connection. It writes an answer in two parts.
func serveUnframed(instance string) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannot
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return cannot
		}
		go answerUnframed(conn, instance)
	}
}

// answerUnframed serves the requests of one connection.
func answerUnframed(conn net.Conn, instance string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	head := "Connection: close\r\nX-Instance-Id: " + instance + "\r\nX-Instance-Load: 1,0,6\r\n"
	if attempt != "" {
		head += "X-Attempt-Id: " + attempt + "\r\n"
	}
	target := request.Header.Get("X-Target-Instance")
	switch {
	case request.URL.Path == "/healthcheck":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head)
		return
	case target != "" && target != instance:
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return
	}
	fmt.Fprintf(os.Stderr, "%s runs %s with %d bytes\n", instance, attempt, len(body))
	answer := wholeAnswer(attempt)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sX-Response-Signature: s.%s\r\n\r\n%s", head, attempt, answer[:len(answer)/2])
	time.Sleep(unframedPart)
	_, _ = io.WriteString(conn, answer[len(answer)/2:])
}

// child is an endpoint process.
type child struct {
	cmd     *exec.Cmd
	address string
}

// startChild starts this program once more, as the endpoint of an instance, and reads its address. Its log goes to a file.
func startChild(instance string, log io.Writer) (*child, error) {
	cmd := exec.Command(os.Args[0], "endpoint", instance)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, err
	}
	return &child{cmd, strings.TrimSpace(line)}, nil
}

// kill kills the process and waits for its end.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}
