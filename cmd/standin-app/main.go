// Command standin-app runs the application server stand-in.
package main

import (
	"os"

	"persimmonwing/internal/process/standin/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
