"""What all the parsers have in common: the size limit and the error."""

MAX_MESSAGE_BYTES = 16 * 1024  # bytes of one message, all counted


class BadMessageError(ValueError):
    """The peer sent what cannot be read; the message names what is wrong with it."""
