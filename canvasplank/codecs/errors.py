"""The message size limit and the error that all parsers share."""

MAX_MESSAGE_BYTES = 16 * 1024  # of one message, including headers and length field


class BadMessageError(ValueError):
    """The peer sent bytes that cannot be parsed; the text gives the reason, for the log."""
