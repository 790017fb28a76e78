"""Chains of engines, layer placement, and the frames exchanged with engines."""

from ryelatch_core.pipeline._chain import (
    Candidate,
    Chain,
    ChainError,
    check_chain,
    choose_chain,
    make_candidate,
    matches_step,
    split_prompt,
)
from ryelatch_core.pipeline._flow import (
    Assignment,
    Machine,
    Placement,
    bound_throughput,
)
from ryelatch_core.pipeline._frames import (
    MAX_FRAME_BYTES,
    Cancel,
    Frame,
    FrameError,
    Hello,
    Ping,
    Pong,
    Receipt,
    Refusal,
    Step,
    StepKey,
    decode_frames,
    encode_frames,
)
from ryelatch_core.pipeline._latency import (
    LatencyTracker,
    estimate_cost,
    find_typical_latency,
)
from ryelatch_core.pipeline._placement import (
    Plan,
    improve_placement,
    place_layers,
    split_evenly,
)
from ryelatch_core.pipeline._repair import (
    Holding,
    Move,
    find_gaps,
    plan_repair,
)

__all__ = [
    'MAX_FRAME_BYTES',
    'Assignment',
    'Cancel',
    'Candidate',
    'Chain',
    'ChainError',
    'Frame',
    'FrameError',
    'Hello',
    'Holding',
    'LatencyTracker',
    'Machine',
    'Move',
    'Ping',
    'Placement',
    'Plan',
    'Pong',
    'Receipt',
    'Refusal',
    'Step',
    'StepKey',
    'bound_throughput',
    'check_chain',
    'choose_chain',
    'decode_frames',
    'encode_frames',
    'estimate_cost',
    'find_gaps',
    'find_typical_latency',
    'improve_placement',
    'make_candidate',
    'matches_step',
    'place_layers',
    'plan_repair',
    'split_evenly',
    'split_prompt',
]
