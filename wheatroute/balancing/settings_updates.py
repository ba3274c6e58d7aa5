"""Applies changed settings and a changed number of nodes; measurements are kept. No I/O."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.retry_rules import apply_changed_rules
from wheatroute.balancing.server_subset import ServerSubset
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.balancing.slow_start import SlowStart


class Configurable(Protocol):
    """A component that keeps values derived from the settings."""

    def apply_settings(self) -> None:
        """Recomputes the values that are derived from the settings."""


class SettingsUpdates:
    """Passes changed settings to all components that keep values derived from them."""

    def __init__(
        self,
        state: BalancerState,
        subset: ServerSubset,
        slow_start: SlowStart,
        parts: Sequence[Configurable],
    ) -> None:
        self._state, self._subset, self._slow_start, self._parts = state, subset, slow_start, parts
        self._apply()

    def _apply(self) -> None:
        self._state.latencies.extend(len(self._state.settings.request_classes))
        for part in self._parts:
            part.apply_settings()

    def settings_changed(self, settings: DecisionSettings, applies_to_pending: bool) -> None:
        """Uses these settings from now on; pending requests keep their rules unless `applies_to_pending`."""
        state = self._state
        for request in state.requests.values() if applies_to_pending else ():
            apply_changed_rules(request, settings.request_classes[request.class_number], state.servers)
        state.settings = settings
        self._apply()
        self._subset.update()

    def nodes_counted(self, nodes: int, node: int, caution: float) -> None:
        """Adapts quotas, the subset and the pace of slow starts to the number of nodes."""
        self._slow_start.caution = caution
        self.settings_changed(replace(self._state.settings, nodes=nodes, node=node), False)
