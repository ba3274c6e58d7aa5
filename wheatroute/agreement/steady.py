"""A list of servers that does not go back: for nodes that agree, in the place of the plain one.

Owns the comparison of a list's version with the one acted on. It must never take an older state of the same
service, nor hold on to one after the file names another service: that one has versions of its own.
"""

from __future__ import annotations

from typing import Any

from wheatroute.net.discovery import Discovery


class SteadyList(Discovery):
    """The list service, which may have been put back, or lie behind others of its kind."""

    _behind = False

    def _handle_response(self, told: Any, responses_taken: int) -> None:
        self._apply(told)  # which compares versions in its own way

    def _apply(self, told: Any) -> None:
        version = told.get("version") if isinstance(told, dict) else None
        if isinstance(version, int) and version < self._version:
            if not self._behind:
                self._log.warning("list-behind", version=version, acted_on=self._version)
            self._behind = True
            return
        if self._behind and isinstance(version, int):
            self._behind = False
            self._log.info("list-came-up", version=version)
            if not told.get("full"):
                self.fetch()  # what changed between may have been told while it lay behind
        super()._apply(told)
