"""Links of a node to its engines."""

from fleet.fleet import make_shape, run_fleet


async def test_more_engines_than_a_hundred() -> None:
    """A fleet grows past a hundred engines, and the rest get no work.

    The client library's pool ends at a hundred connections by default; the
    others wait for a free one, which there never is.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        engine = fleet.vms['engine-0a']
        for index in range(130):
            name = f'linked-{index}'
            fleet.vms[name] = engine | {'name': name}
        await fleet.publish_vms()
        await fleet.wait_connected(133)
