"""Receipts of engines that don't hold what they have to."""

from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_core.pipeline import Receipt, Step
from ryelatch_node.answers._answer import Answer, Finish, StageFailure

_MAX_TOKENS = 9


class _Link:
    """An engine that keeps the steps it gets."""

    def __init__(self) -> None:
        self.vm = SimpleNamespace(name='engine-a')
        self.streams = 0
        self.steps: list[Step] = []

    def send(self, step: Step, *_: object) -> None:
        """Keep a step."""
        self.steps.append(step)

    def cancel(self, *_: object) -> None:
        """Ignore that an attempt is cancelled."""


def _make_receipt(step: Step, tokens: tuple[int, ...]) -> Receipt:
    return Receipt(
        step.stream,
        step.attempt,
        step.position,
        step.count,
        step.first,
        step.last,
        step.version,
        tokens,
    )


@pytest.mark.parametrize(
    ('tokens', 'finish', 'failures'),
    [((0,), Finish.STOP, []), ((), None, ['receipt'])],
)
def test_receipt_without_a_token_is_no_end(
    tokens: tuple[int, ...], finish: Finish | None, failures: list[str]
) -> None:
    """An answer ends as complete where an engine left out its token."""
    failed: list[StageFailure] = []
    answer = Answer(
        's', (1, 2), _MAX_TOKENS, 0, lambda _, failure: failed.append(failure)
    )
    link: Any = _Link()
    stage: Any = SimpleNamespace(name='engine-a', first=0, last=8, version='v')
    answer.start_attempt((stage,), {'engine-a': link})
    step = link.steps[-1]
    answer.handle_receipt(0, step, _make_receipt(step, tokens))
    assert answer.finish is finish
    assert [failure.reason for failure in failed] == failures
