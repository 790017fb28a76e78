"""Nodes, their store and its troubles in virtual time.

Nothing here waits: the loop's clock jumps to whatever comes next, so a test
of seconds takes milliseconds, and how busy the machine is changes nothing.
"""
