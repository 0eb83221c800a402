// Command standin-platform runs the stand-in of the platform, for tests and demos.
package main

import (
	"os"

	"persimmonwing/internal/process/standin/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr)) }
