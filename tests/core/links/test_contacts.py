"""When failed connections put the links of a node in doubt."""

from ryelatch_core.fleet import Replica
from ryelatch_core.links import Contacts, group_replicas


def _make(count: int, zone: str = 'a', service: str = 'm') -> list[Replica]:
    return [
        Replica(
            f'{service}-{zone}-{number}', service, f'{zone}{number}:1', zone
        )
        for number in range(count)
    ]


def _fail(contacts: Contacts, replicas: list[Replica], now: float) -> None:
    for replica in replicas:
        contacts.record_failed(replica.address, now)


def test_one_lost_replica_is_no_lost_link() -> None:
    contacts = Contacts()
    replicas = _make(4)
    _fail(contacts, replicas[:1], 1)
    assert not contacts.is_doubtful(replicas[0], replicas, 1)


def test_several_without_any_success_are_doubtful() -> None:
    contacts = Contacts()
    replicas = _make(4)
    contacts.record_reached(replicas[3].address, 0.9)
    _fail(contacts, replicas[:2], 1)
    assert contacts.is_doubtful(replicas[1], replicas, 1)


def test_a_later_connection_removes_the_doubt() -> None:
    """Several replicas of a zone crash at once, and the others are reached."""
    contacts = Contacts()
    replicas = _make(5)
    _fail(contacts, replicas[:3], 1)
    contacts.record_reached(replicas[4].address, 1)
    assert not contacts.is_doubtful(replicas[0], replicas, 1.1)


def test_one_zone_of_two_is_doubtful() -> None:
    """The links to one of two availability zones are lost."""
    contacts = Contacts()
    near, far = _make(3), _make(3, 'b')
    contacts.record_reached(far[0].address, 1.1)
    _fail(contacts, near[:2], 1)
    assert contacts.is_doubtful(near[0], near + far, 1.2)


def test_single_replicas_of_zones_count_together() -> None:
    """Each zone has one replica of a service, and none can be reached."""
    contacts = Contacts()
    replicas = _make(1) + _make(1, 'b') + _make(1, 'c')
    _fail(contacts, replicas[:2], 1)
    assert contacts.is_doubtful(replicas[0], replicas, 1)


def test_failures_of_long_ago_do_not_count() -> None:
    contacts = Contacts()
    replicas = _make(4)
    _fail(contacts, replicas[:1], 1)
    _fail(contacts, replicas[1:2], 3)
    assert not contacts.is_doubtful(replicas[1], replicas, 3)


def test_groups_with_failures_are_found() -> None:
    """A node probes all groups of a large fleet for the failures of one."""
    contacts = Contacts()
    near, far = _make(3), _make(3, 'b')
    _fail(contacts, far[:1], 1)
    groups = group_replicas(near + far)
    assert contacts.list_failing(groups, 1.1) == [('m', 'b')]


def test_a_connection_that_failed_proves_nothing() -> None:
    """Connections that are reset a moment late count as reached replicas.

    Each of them removes the doubt that the failure before it has raised, so
    that lost links are never examined.
    """
    contacts = Contacts()
    replicas = _make(3)
    for number, replica in enumerate(replicas[:2]):
        contacts.record_reached(replica.address, 1 + 0.1 * number)
        contacts.record_failed(replica.address, 1.05 + 0.1 * number)
    assert contacts.is_doubtful(replicas[1], replicas, 1.15)
