"""A randomized soak: real nodes, faults from outside, promises checked."""
