"""Simulates nodes, their store and its faults in virtual time.

The event loop's clock jumps to the next scheduled callback instead of waiting.
A test of several seconds takes milliseconds, and the load of the machine
doesn't influence its result.
"""
