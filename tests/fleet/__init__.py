"""Starts stand-ins and nodes as processes, for tests, demo and benchmarks."""
