// Command standin-app runs the stand-in of an application server, for tests and demos.
package main

import (
	"os"

	"persimmonwing/internal/process/standin/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
