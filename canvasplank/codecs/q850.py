"""Release causes (ITU-T Q.850), which both protocols carry as a number."""

from __future__ import annotations

import enum

MAX_CAUSE = 127  # a cause has seven bits


class ReleaseCause(enum.IntEnum):
    """The causes that this program sends or distinguishes; all others are forwarded unchanged."""

    NORMAL_CLEARING = 16  # the ordinary end of a call
    NORMAL_UNSPECIFIED = 31
    TEMPORARY_FAILURE = 41
    SWITCHING_CONGESTION = 42
    INVALID_INFORMATION = 100  # invalid information element contents
