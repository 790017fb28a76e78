"""Connections of peers and clients over TLS."""

import ssl
from pathlib import Path

import trustme

from fleet.fleet import OPERATOR_KEY, Fleet, make_shape


async def test_nodes_with_certificates(tmp_path: Path) -> None:
    """All nodes have certificates of one authority, which clients trust.

    Peers connect over TLS in both directions, and the port for clients
    accepts TLS.
    """
    authority = trustme.CA()
    pair = authority.issue_cert('127.0.0.1')
    chain = tmp_path / 'chain.pem'
    key = tmp_path / 'key.pem'
    root = tmp_path / 'root.pem'
    pair.cert_chain_pems[0].write_to_path(chain)
    pair.private_key_pem.write_to_path(key)
    authority.cert_pem.write_to_path(root)
    tls = {'certificate': str(chain), 'key': str(key), 'authority': str(root)}
    context = ssl.create_default_context(cafile=str(root))
    fleet = Fleet(make_shape(nodes=2), tmp_path)
    try:
        await fleet.start_platform()
        for name in fleet.shape.nodes:
            await fleet.start_node(name, tls=tls)
        url = f'https://{fleet.nodes[0].address}/admin/status'
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}

        async def connected() -> bool:
            async with fleet.http.get(
                url, headers=headers, ssl=context
            ) as response:
                return (await response.json())['peers'] == ['node-b']

        await fleet.wait_for(connected)
    finally:
        await fleet.close()
