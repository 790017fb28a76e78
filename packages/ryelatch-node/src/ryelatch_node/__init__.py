"""Node of the ryelatch router: one process on each entry VM."""
