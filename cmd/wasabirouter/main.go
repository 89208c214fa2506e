// Command wasabirouter is part of wasabiridge.
package main

func main() {}
