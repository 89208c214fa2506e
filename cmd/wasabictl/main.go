// Command wasabictl is part of wasabiridge.
package main

func main() {}
