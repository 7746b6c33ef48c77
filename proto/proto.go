// Package proto holds the project's protobuf files; 'go generate ./proto' makes their code again.
package proto

//go:generate go run ./generate
