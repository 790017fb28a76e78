"""Placement of model layers on replicas, and choice of paths through them."""

from ryelatch_core.fleet._costs import PathQuery
from ryelatch_core.fleet._durations import DurationTracker
from ryelatch_core.fleet._failures import FailureTracker
from ryelatch_core.fleet._first_replicas import rank_first_replicas
from ryelatch_core.fleet._load import NO_LOAD, LoadEstimate, LoadTracker
from ryelatch_core.fleet._path import choose_path
from ryelatch_core.fleet._performance import (
    estimate_capacity,
    estimate_step,
    fit_layers,
)
from ryelatch_core.fleet._plan import lacks_layers, plan_moves
from ryelatch_core.fleet._pool import Move
from ryelatch_core.fleet._step_factors import StepFactorTracker
from ryelatch_core.fleet._suspicion import (
    FULL_SECONDS,
    UNREACHABLE_SECONDS,
    Suspects,
)
from ryelatch_core.fleet._types import (
    Accelerator,
    LayerRange,
    ModelProfile,
    Replica,
    Stage,
    name_incarnation,
)

__all__ = [
    'FULL_SECONDS',
    'NO_LOAD',
    'UNREACHABLE_SECONDS',
    'Accelerator',
    'DurationTracker',
    'FailureTracker',
    'LayerRange',
    'LoadEstimate',
    'LoadTracker',
    'ModelProfile',
    'Move',
    'PathQuery',
    'Replica',
    'Stage',
    'StepFactorTracker',
    'Suspects',
    'choose_path',
    'estimate_capacity',
    'estimate_step',
    'fit_layers',
    'lacks_layers',
    'name_incarnation',
    'plan_moves',
    'rank_first_replicas',
]
