"""Starts nodes and stand-ins for tests, the demonstration and benchmarks."""
