"""Reads the TOML file that enables and configures an extension."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from typing import TypeVar

import msgspec

from canvasplank.config.configuration import ConfigurationError

Settings = TypeVar("Settings", bound=msgspec.Struct)


def load_extension_settings(
    path: str, name: str, kind: type[Settings], check: Callable[[Settings], None]
) -> Settings:
    """Return the settings of the extension ``name``, decoded as ``kind``.

    ``check`` raises ``ValueError`` for constraints that the types do not express.  Raises
    ``ConfigurationError`` with a message of one line if the file is unusable.
    """
    try:
        with open(path, "rb") as file:
            settings = msgspec.convert(tomllib.load(file), kind)
        check(settings)
    except (OSError, tomllib.TOMLDecodeError, msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationError(f"{name} {path}: {' '.join(str(error).split())}") from None
    return settings
