"""Placement of model layers on replicas, and choice of paths through them."""

from ryelatch_core.fleet._accounts import AccountBook
from ryelatch_core.fleet._durations import DurationBook
from ryelatch_core.fleet._failures import FailureBook
from ryelatch_core.fleet._heads import rank_heads
from ryelatch_core.fleet._load import NO_LOAD, LoadBook, LoadEstimate
from ryelatch_core.fleet._path import choose_path
from ryelatch_core.fleet._performance import (
    estimate_capacity,
    estimate_step,
    fit_layers,
)
from ryelatch_core.fleet._plan import misses_layers, plan_moves
from ryelatch_core.fleet._pool import Move
from ryelatch_core.fleet._prices import PathQuery
from ryelatch_core.fleet._returns import ReturnPlan
from ryelatch_core.fleet._step_factors import PaceBook
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
    name_life,
)
from ryelatch_core.fleet._window import LATE_SHARE, Windows

__all__ = [
    'FULL_SECONDS',
    'LATE_SHARE',
    'NO_LOAD',
    'UNREACHABLE_SECONDS',
    'Accelerator',
    'AccountBook',
    'DurationBook',
    'FailureBook',
    'LayerRange',
    'LoadBook',
    'LoadEstimate',
    'ModelProfile',
    'Move',
    'PaceBook',
    'PathQuery',
    'Replica',
    'ReturnPlan',
    'Stage',
    'Suspects',
    'Windows',
    'choose_path',
    'estimate_capacity',
    'estimate_step',
    'fit_layers',
    'misses_layers',
    'name_life',
    'plan_moves',
    'rank_heads',
]
