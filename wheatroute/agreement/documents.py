"""Parses stored documents of a version store into typed messages. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import msgspec

from wheatroute.agreement.errors import MalformedDocumentError

Message = TypeVar("Message")


def parse(document: Any, message_type: type[Message]) -> Message:
    """Converts a document into a message; keys that the message type does not have are ignored.

    Where the message type has numbers as keys, the document has them as strings, as JSON requires. Raises
    `MalformedDocumentError`.
    """
    with malformed_document_errors():
        return msgspec.convert(document, message_type, str_keys=True)


@contextmanager
def malformed_document_errors() -> Iterator[None]:
    """Converts validation errors into `MalformedDocumentError`."""
    try:
        yield
    except msgspec.ValidationError as error:
        raise MalformedDocumentError(str(error)) from error
