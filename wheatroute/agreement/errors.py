"""The errors of an agreement. No I/O.

Errors of an operator's command have its exit status; the others are of the processes that take part.
"""

from __future__ import annotations

from typing import ClassVar


class AgreementError(Exception):
    """Base class of all errors of this package."""


class VersionStoreError(AgreementError):
    """The store could not be read, or did not confirm whether a record was appended."""


class HistoryError(AgreementError):
    """The records do not continue this history: another store, an older one, or a newer format."""


class MalformedDocumentError(AgreementError):
    """A stored document has a known format, and not the fields that belong to it."""


class ContentError(AgreementError):
    """The content is not valid for a version."""


class OperatorError(AgreementError):
    """A command of an operator has failed; the message is for the operator."""

    exit_status: ClassVar[int]


class InvalidInputError(OperatorError):
    """What the operator gave cannot be used."""

    exit_status = 2


class ConflictError(OperatorError):
    """The state is another one than the operator assumed, who has to decide anew."""

    exit_status = 3


class StoreUnavailableError(OperatorError):
    """The store failed: whether the command was carried out may not be known. To be tried later."""

    exit_status = 4


def first_error(error: BaseException) -> BaseException:
    """Return the first error in the exception groups that concurrent tasks make of it."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
