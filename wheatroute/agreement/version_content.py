"""Reads a version's content from an operator's file and checks it. Does file I/O."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from wheatroute.agreement.errors import ContentError, InvalidInputError
from wheatroute.agreement.join_rules import FILE_PART, NODE_PART
from wheatroute.agreement.setting_check import setting_errors, without_per_process_keys
from wheatroute.agreement.versions import canonical
from wheatroute.net.node_settings import NodeSettingsError, derive_settings


def read_content(path: str) -> tuple[dict[str, Any], list[str]]:
    """Reads a version's content from a JSON or TOML file, without keys that are specific to each process.

    Also returns the paths of the keys left out. Raises `InvalidInputError`.
    """
    document = _read_document(path)
    if isinstance(document, dict) and "traffic_types" in document:
        return {FILE_PART: _shared_settings(path)}, []
    settings = document.get(NODE_PART) if isinstance(document, dict) else None
    if not isinstance(settings, dict):
        raise InvalidInputError(
            f'{path}: must have a table "settings", or be a TOML file with "traffic_types"'
        )
    settings, left_out = without_per_process_keys(settings)
    errors = setting_errors(settings)
    if not errors:
        try:
            derive_settings(settings)
            canonical(settings)
        except (NodeSettingsError, ContentError) as error:
            errors = [str(error)]
    if errors:
        raise InvalidInputError("\n".join(f"{path}: {line}" for line in errors))
    return {NODE_PART: settings}, left_out


def _read_document(path: str) -> Any:
    try:
        data = Path(path).read_bytes()
        return tomllib.loads(data.decode()) if path.endswith(".toml") else json.loads(data)
    except OSError as error:
        raise InvalidInputError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, json.JSONDecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError(f"{path}: invalid JSON or TOML: {error}") from error


def _shared_settings(path: str) -> dict[str, Any]:
    """Returns the settings in a processor's TOML file that all processes share."""
    from wheatroute.config import settings_file

    try:
        settings = settings_file.read(path)
    except settings_file.ConfigError as error:
        raise InvalidInputError(str(error)) from error
    processor = settings.processor
    pools = [pool for pool in settings.pools if processor is None or pool.name == processor.pool]
    return {
        "nodes": settings.nodes,
        "rules": pools[0].rules.model_dump(by_alias=True),
        "traffic_types": [
            request_class.model_dump(by_alias=True, exclude_none=True)
            for request_class in settings.request_classes
        ],
        "customers": [tenant.model_dump(by_alias=True) for tenant in settings.tenants],
    }
