"""The errors of the agreement package. No I/O.

`OperatorError` and its subclasses have the exit status of an operator's command; the other errors occur in
the processes that take part in an agreement.
"""

from __future__ import annotations

from typing import ClassVar


class AgreementError(Exception):
    """Base class of all errors of this package."""


class VersionStoreError(AgreementError):
    """The store could not be read or written, or did not confirm whether a record was appended."""


class HistoryError(AgreementError):
    """Records do not continue this history: the store was replaced or restored, or has a newer format."""


class MalformedDocumentError(AgreementError):
    """A stored document lacks the fields of its format, or has invalid ones."""


class ContentError(AgreementError):
    """The content of a version is invalid."""


class OperatorError(AgreementError):
    """An operator's command has failed; the message is for the operator."""

    exit_status: ClassVar[int]


class InvalidInputError(OperatorError):
    """The operator's input is invalid."""

    exit_status = 2


class ConflictError(OperatorError):
    """The version store's state is not the one that the operator assumed; the operator must decide again."""

    exit_status = 3


class StoreUnavailableError(OperatorError):
    """The store failed; whether the command took effect may be unknown. The operator may retry later."""

    exit_status = 4


def first_error(error: BaseException) -> BaseException:
    """Returns the first error in nested exception groups, in which concurrent tasks wrap errors."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
