"""Loopback addresses: their text form, and ports reserved for processes that start later."""

from __future__ import annotations

import socket

Address = tuple[str, int]  # host and port
LOOPBACK = "127.0.0.1"


def host_port(address: Address) -> str:
    """Returns the address as `HOST:PORT`."""
    host, port = address
    return f"{host}:{port}"


def reserve_port(socket_type: int = socket.SOCK_STREAM) -> socket.socket:
    """Reserves a port that the kernel chooses, without listening on it.

    A process that sets SO_REUSEADDR can still listen on the port. Without the reservation, the kernel could
    give the port to another connection before that process starts.
    """
    reserved = socket.socket(socket.AF_INET, socket_type)
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((LOOPBACK, 0))
    return reserved
