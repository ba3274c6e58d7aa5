"""TLS contexts from files: certificate, key and certificate authorities.

Unusable files raise a `TlsError` with a message of one line. A reloaded context replaces the current one only
if it is valid; open connections are kept. Keys are never logged.
"""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from pathlib import Path


class TlsError(Exception):
    """The files do not make a valid context; the message is one line for the operator."""


def server_context(
    certificate: str, key: str, client_authorities: str = "", protocols: Sequence[str] = ("h2",)
) -> ssl.SSLContext:
    """Returns a context for a listener.

    With `client_authorities` clients must have a certificate signed by one of them. Raises `TlsError`.
    """
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
    """Returns a context for connecting; without `authorities` the system's are used. Raises `TlsError`."""
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
        _check_readable(path)
    try:
        # Without a password, OpenSSL would prompt for the pass phrase of an encrypted key on the terminal,
        # and block.
        context.load_cert_chain(certificate, key, password=lambda: b"")
    except (ssl.SSLError, ValueError) as error:
        reason = getattr(error, "reason", None) or "not a pair in PEM format"
        raise TlsError(f"{certificate} and {key} are not a usable certificate and key: {reason}") from error


def _load_authorities(context: ssl.SSLContext, path: str) -> None:
    _check_readable(path)
    try:
        context.load_verify_locations(path)
    except ssl.SSLError as error:
        raise TlsError(f"{path} contains no usable certificate authorities: {error.reason}") from error


def _check_readable(path: str) -> None:
    try:
        Path(path).read_bytes()
    except OSError as error:
        raise TlsError(f"cannot read {path}: {error.strerror}") from error


class ServerContext:
    """Holds the current context of one listener, and reloads it."""

    def __init__(
        self, certificate: str, key: str, client_authorities: str = "", protocols: Sequence[str] = ("h2",)
    ) -> None:
        self._arguments = certificate, key, client_authorities, protocols
        self.current = server_context(*self._arguments)

    def reload(self) -> None:
        """Reads the files again; raises `TlsError` and keeps the current context if they are not valid."""
        self.current = server_context(*self._arguments)
