"""The memory of all requests together."""

from ryelatch_node.clients import Charge, MemoryBudget

_LARGE = 200_000


def test_many_requests_share_one_bound() -> None:
    """Each request is inside its limits, and together they fill a node."""
    budget = MemoryBudget(1_000_000)
    charges = [budget.open_charge() for _ in range(20)]
    assert sum(charge.grow(100_000) for charge in charges) == 10
    charges[0].release()
    assert charges[-1].grow(100_000)
    assert budget.used == 1_000_000


def test_small_requests_find_room_beside_large() -> None:
    """A few large requests leave no room for all others."""
    budget = MemoryBudget(1_000_000)
    large = [budget.open_charge() for _ in range(10)]
    assert sum(charge.grow(_LARGE) for charge in large) == 3
    assert budget.open_charge().grow(100_000)


def test_released_request_takes_nothing() -> None:
    """What still arrives of a refused request counts for ever."""
    budget = MemoryBudget(1000)
    charge = budget.open_charge()
    assert charge.grow(10)
    charge.release()
    assert not charge.grow(10)
    charge.shrink(10)
    charge.release()
    assert budget.used == 0


def test_what_is_evicted_makes_room() -> None:
    """Requests that are never complete keep others out."""
    incomplete: list[Charge] = []

    def make_room(_: object) -> bool:
        if not incomplete:
            return False
        incomplete.pop().release()
        return True

    budget = MemoryBudget(1000, make_room)
    for _ in range(10):
        incomplete.append(budget.open_charge())
        assert incomplete[-1].grow(100)
    charge = budget.open_charge()
    assert charge.grow(300)
    assert len(incomplete) == 7
    assert budget.used == 1000
