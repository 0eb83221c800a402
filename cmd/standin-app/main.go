// Command standin-app runs the application server stand-in.
package main

func main() {}
