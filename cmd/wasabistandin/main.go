// Command wasabistandin is part of wasabiridge.
package main

func main() {}
