"""Exceptions of this package."""


class AgaterudderError(Exception):
    """Base class of every exception of this package."""


class SettingsError(AgaterudderError):
    """The settings file is invalid; the message names file and field."""


class StoreUnavailable(AgaterudderError):
    """The table service or object store did not answer.

    :param sent: whether the request may have taken effect.
    """

    def __init__(self, reason: str, sent: bool = True) -> None:
        super().__init__(reason)
        self.sent = sent


class ChartError(AgaterudderError):
    """A state chart is invalid, or an event is not allowed in a state."""


class StreamClosed(AgaterudderError):
    """The stream to a peer has ended."""


class CallFailed(AgaterudderError):
    """A call to an external system returned no complete answer.

    :param sent: whether the call may take effect, now or later.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent
