"""Derives the settings of the platform's node from a version's content. No I/O."""

from __future__ import annotations

from typing import Any

from wheatroute.agreement.adapter import DerivedSettings, DeriveSettings
from wheatroute.agreement.errors import ContentError
from wheatroute.agreement.join_rules import NODE_PART, PATH_RULES, JoinRule
from wheatroute.agreement.setting_check import setting_errors
from wheatroute.net.node_settings import NodeSettingsError, derive_settings


def node_deriver(own_settings: dict[str, Any], own: DerivedSettings) -> DeriveSettings:
    """Returns a function that derives a node's settings from a version's content.

    `own_settings` are the settings in the node's own file, `own` the settings derived from them.
    """

    def derive(content: dict[str, Any]) -> DerivedSettings:
        if NODE_PART not in content:
            return own
        shared = content[NODE_PART]
        errors = setting_errors(shared)
        if errors:
            more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
            raise ContentError(errors[0] + more)
        try:
            return DerivedSettings.from_dict(derive_settings(_with_own_values(shared, own_settings)))
        except NodeSettingsError as error:
            raise ContentError(str(error)) from error

    return derive


def _with_own_values(shared: dict[str, Any], own_settings: dict[str, Any]) -> dict[str, Any]:
    """Returns a version's settings with this node's values of keys that are per process or need a restart."""
    settings = {key: dict(value) if isinstance(value, dict) else value for key, value in shared.items()}
    for path, rule in PATH_RULES.items():
        if rule in (JoinRule.PER_PROCESS, JoinRule.RESTART_ONLY):
            _copy_value(own_settings, settings, path.split("."), is_overriding=rule == JoinRule.PER_PROCESS)
    return settings


def _copy_value(own: Any, settings: dict[str, Any], path: list[str], is_overriding: bool) -> None:
    """Copies the node's own value at a path, if there is one, into `settings`.

    A value that `settings` already has is replaced only if `is_overriding` is set.
    """
    *tables, key = path
    for name in tables:
        own = own.get(name) if isinstance(own, dict) else None
    if not isinstance(own, dict) or key not in own:
        return
    for name in tables:
        settings = settings.setdefault(name, {})
    if is_overriding or key not in settings:
        settings[key] = own[key]
