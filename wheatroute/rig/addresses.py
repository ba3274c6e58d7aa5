"""Addresses on loopback: their text, and ports that are held for processes which start later."""

from __future__ import annotations

import socket

Address = tuple[str, int]  # host and port
LOOPBACK = "127.0.0.1"


def host_port(address: Address) -> str:
    """The address as `HOST:PORT`."""
    host, port = address
    return f"{host}:{port}"


def reserve_port(kind: int = socket.SOCK_STREAM) -> socket.socket:
    """Holds a port that the kernel chooses, without listening: a process that reuses addresses still can.

    Guards against a port that is given to a connection between its choice and its process's start.
    """
    reserved = socket.socket(socket.AF_INET, kind)
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((LOOPBACK, 0))
    return reserved
