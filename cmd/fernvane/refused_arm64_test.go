package main

// forkCalls is empty: arm64 has neither fork nor vfork.
var forkCalls []uint32
