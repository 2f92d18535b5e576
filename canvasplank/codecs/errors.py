"""What all the parsers have in common: the size limit and the error."""

MAX_MESSAGE_BYTES = 16 * 1024  # of one message, its head and length field included


class BadMessageError(ValueError):
    """The peer sent what cannot be parsed; the text names what is wrong with it, for the log."""
