"""From the file's table to a follower: TLS, user, password, a chance of its own. Opens no connection."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from wheatroute.config import Etcd
from wheatroute.etcd.client import Cluster
from wheatroute.etcd.follow import Follower
from wheatroute.net.boot import address
from wheatroute.tls import client_context


def follower(told: Etcd, name: str, take: Callable[[dict[str, Any]], None], log: Any) -> Follower:
    """A follower of a pool's servers; raises `OSError` or `TlsError` for files that are no use."""
    tls = told.tls
    context = client_context(tls.authorities, tls.certificate, tls.key) if tls else None
    password = Path(told.password_file).read_text().strip() if told.password_file else ""
    # nodes differ in their names: so do the endpoints that they begin with, and their waits
    chance = random.Random(name)
    cluster = Cluster([address(one) for one in told.endpoints], chance, told.user, password, context)
    return Follower(cluster, told.prefix.encode(), take, chance, log)
