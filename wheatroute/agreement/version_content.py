"""Reads a version's content from an operator's file and checks it. Does file I/O."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from wheatroute.agreement import joint_terms
from wheatroute.agreement.operator_errors import OperatorError
from wheatroute.agreement.versions import ContentError, canonical
from wheatroute.net.node_settings import NodeSettingsError, derive_settings

BAD_INPUT = 2  # exit status


def read_content(path: str) -> tuple[dict[str, Any], list[str]]:
    """Return a version's content from a JSON or TOML file, and the keys left out as each process has its own.

    Raises `OperatorError`.
    """
    document = _read_document(path)
    if isinstance(document, dict) and "traffic_types" in document:
        return {"file": _shared_settings(path)}, []
    settings = document.get("settings") if isinstance(document, dict) else None
    if not isinstance(settings, dict):
        raise OperatorError(
            f'{path}: holds no table "settings", nor the request classes of a TOML file', BAD_INPUT
        )
    settings, left_out = joint_terms.without_own(settings)
    errors = joint_terms.setting_errors(settings)
    if not errors:
        try:
            derive_settings(settings)
            canonical(settings)
        except (NodeSettingsError, ContentError) as error:
            errors = [str(error)]
    if errors:
        raise OperatorError("\n".join(f"{path}: {line}" for line in errors), BAD_INPUT)
    return {"settings": settings}, left_out


def _read_document(path: str) -> Any:
    try:
        data = Path(path).read_bytes()
        return tomllib.loads(data.decode()) if path.endswith(".toml") else json.loads(data)
    except OSError as error:
        raise OperatorError(f"{path}: cannot be read: {error.strerror}", BAD_INPUT) from error
    except (tomllib.TOMLDecodeError, json.JSONDecodeError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: cannot be understood: {error}", BAD_INPUT) from error


def _shared_settings(path: str) -> dict[str, Any]:
    """Return the part of a processor's TOML file that all processes share."""
    from wheatroute.config import settings_file

    try:
        settings = settings_file.read(path)
    except settings_file.ConfigError as error:
        raise OperatorError(str(error), BAD_INPUT) from error
    processor = settings.processor
    pools = [pool for pool in settings.pools if processor is None or pool.name == processor.pool]
    return {
        "nodes": settings.nodes,
        "rules": pools[0].rules.model_dump(by_alias=True),
        "traffic_types": [
            one.model_dump(by_alias=True, exclude_none=True) for one in settings.request_classes
        ],
        "customers": [one.model_dump(by_alias=True) for one in settings.tenants],
    }
