"""TLS of the fronts: contexts made from files, and made anew when the files are.

Owns reading and checking certificate, key and authorities. A bad pair is a `TlsError` of one plain line; the
context in force stays until a new one is whole, and connections made with it go on. It must never log a key.
"""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from pathlib import Path


class TlsError(Exception):
    """Files that make no usable context."""


def server_context(
    certificate: str, key: str, client_authorities: str = "", protocols: Sequence[str] = ("h2",)
) -> ssl.SSLContext:
    """For listening; with `client_authorities` a client without a certificate of theirs is turned away."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_pair(context, certificate, key)
    if client_authorities:
        _load_authorities(context, client_authorities)
        context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(list(protocols))
    return context


def client_context(
    authorities: str = "", certificate: str = "", key: str = "", protocols: Sequence[str] = ("h2",)
) -> ssl.SSLContext:
    """For connecting; without `authorities` those of the system count."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if authorities:
        _load_authorities(context, authorities)
    else:
        context.load_default_certs()
    if certificate:
        _load_pair(context, certificate, key)
    context.set_alpn_protocols(list(protocols))
    return context


def _load_pair(context: ssl.SSLContext, certificate: str, key: str) -> None:
    for path in (certificate, key):
        _readable(path)
    try:
        # a key that wants a pass phrase would ask for it on the terminal and hold up the program
        context.load_cert_chain(certificate, key, password=lambda: b"")
    except (ssl.SSLError, ValueError) as trouble:
        reason = getattr(trouble, "reason", None) or "no pair in PEM form"
        raise TlsError(f"{certificate} and {key} are no usable pair: {reason}") from trouble


def _load_authorities(context: ssl.SSLContext, path: str) -> None:
    _readable(path)
    try:
        context.load_verify_locations(path)
    except ssl.SSLError as trouble:
        raise TlsError(f"{path} holds no usable authorities: {trouble.reason}") from trouble


def _readable(path: str) -> None:
    try:
        Path(path).read_bytes()
    except OSError as trouble:
        raise TlsError(f"cannot read {path}: {trouble.strerror}") from trouble


class Contexts:
    """The context in force of one listener, and the way to a new one."""

    def __init__(
        self, certificate: str, key: str, client_authorities: str = "", protocols: Sequence[str] = ("h2",)
    ) -> None:
        self._told = certificate, key, client_authorities, protocols
        self.current = server_context(*self._told)

    def renew(self) -> None:
        """Takes the files as they are now; raises `TlsError` and keeps the context if they are no use."""
        self.current = server_context(*self._told)
