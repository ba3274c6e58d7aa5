"""Errors of the operator's commands, each with the exit status of the command. No I/O."""

from __future__ import annotations


class OperatorError(Exception):
    """A message for the operator and the exit status.

    2: bad input, 3: the operator has to decide anew, 4: the store failed, to be tried later.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


def first_error(error: BaseException) -> BaseException:
    """Return the first error in the exception groups that concurrent tasks make of it."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
