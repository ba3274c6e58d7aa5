"""Discovery that never goes back to an older server list, for nodes that take part in an agreement.

The version of each list is compared with that of the list in use. An older list from the same list service is
rejected. If the node's file is changed to name another list service, only the versions of that service count
from then on.
"""

from __future__ import annotations

from typing import Any

from wheatroute.net.discovery import Discovery


class MonotonicDiscovery(Discovery):
    """Rejects older lists, which a list service may send if it lags or was restored from a backup."""

    _is_behind = False

    def _handle_response(self, message: Any, responses_taken: int) -> None:
        # `_apply` compares the versions, so the number of responses is not needed.
        self._apply(message)

    def _apply(self, message: Any) -> None:
        version = message.get("version") if isinstance(message, dict) else None
        if isinstance(version, int) and version < self._version:
            if not self._is_behind:
                self._log.warning("list-behind", version=version, acted_on=self._version)
            self._is_behind = True
            return
        if self._is_behind and isinstance(version, int):
            self._is_behind = False
            self._log.info("list-caught-up", version=version)
            if not message.get("full"):
                # Changes that the service sent while it lagged were rejected, so the full list is needed.
                self.fetch()
        super()._apply(message)
