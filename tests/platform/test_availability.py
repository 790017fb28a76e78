"""What a node knows of the store's outages, itself and from peers."""

import pytest

from fake_clock import FakeClock
from ryelatch_core.events import LineLog
from ryelatch_platform._availability import Availability


@pytest.fixture
def after_outage() -> Availability:
    """Return the state after an outage from 10 to 13, known until 11."""
    log = LineLog('node-a', FakeClock(), len)
    availability = Availability(log, lambda: 14)
    availability.record_unanswered('TimeoutError', 10)
    availability.record_unanswered('TimeoutError', 11)
    availability.record_available(13)
    return availability


def test_late_report_of_a_peer_dates_an_outage(
    after_outage: Availability,
) -> None:
    """A peer's last call in an outage is unknown when the outage ends here."""
    assert after_outage.apply_peer_health(12)
    assert after_outage.unanswered == 12
    assert not after_outage.apply_peer_health(11)
    assert after_outage.unanswered == 12


@pytest.mark.parametrize('unanswered', [9, 13, 14])
def test_other_outages_of_a_peer_are_ignored(
    after_outage: Availability, unanswered: float
) -> None:
    """Entries are kept because of an outage that affected only a peer."""
    assert not after_outage.apply_peer_health(unanswered)
    assert after_outage.unanswered == 11
