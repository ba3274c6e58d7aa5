"""Discovery that never goes back to an older server list, for nodes that take part in an agreement.

The version of each list is compared with the one acted on. An older state of the same list service is
rejected; after the node's file names another service, that one's versions count instead.
"""

from __future__ import annotations

from typing import Any

from wheatroute.net.discovery import Discovery


class MonotonicDiscovery(Discovery):
    """Discovery from a list service that may have been restored, or may lag behind its replicas."""

    _is_behind = False

    def _handle_response(self, message: Any, responses_taken: int) -> None:
        self._apply(message)  # which compares versions in its own way

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
                self.fetch()  # changes between may have been sent while the service lagged
        super()._apply(message)
