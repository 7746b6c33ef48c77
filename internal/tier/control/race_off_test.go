//go:build !race

package control

const raced = false
