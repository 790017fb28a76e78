"""Randomized soak test: node processes, injected faults, checked promises."""
