"""Reads a file of its own (TOML) that switches a part of the program on."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from typing import TypeVar

import msgspec

from canvasplank.config.configuration import ConfigurationError

Settings = TypeVar("Settings", bound=msgspec.Struct)


def load_extension_settings(
    path: str, part: str, kind: type[Settings], check: Callable[[Settings], None]
) -> Settings:
    """The settings of one part; whatever is wrong with them is one line, as a bad configuration.

    ``check`` raises ``ValueError`` for what the types do not tell.
    """
    try:
        with open(path, "rb") as file:
            settings = msgspec.convert(tomllib.load(file), kind)
        check(settings)
    except (OSError, tomllib.TOMLDecodeError, msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationError(f"{part} {path}: {' '.join(str(error).split())}") from None
    return settings
