"""Exceptions of this package."""


class AgaterudderError(Exception):
    """Base class of every exception of this package."""


class SettingsError(AgaterudderError):
    """The settings file is invalid; the message names file and field."""


class StoreUnavailable(AgaterudderError):
    """The table service or object store did not answer.

    :param may_take_effect: whether the request may have taken effect.
    """

    def __init__(self, reason: str, may_take_effect: bool = True) -> None:
        super().__init__(reason)
        self.may_take_effect = may_take_effect


class ChartError(AgaterudderError):
    """A state chart is invalid, or an event is not allowed in a state."""


class StreamClosed(AgaterudderError):
    """The stream to a peer has ended."""


class Undecodable(AgaterudderError):
    """Content is not of the expected type; the message says what is wrong."""


class CallFailed(AgaterudderError):
    """A call to an external system returned no complete answer.

    :param may_take_effect: whether the call may take effect, now or later.
    """

    def __init__(self, reason: str, may_take_effect: bool) -> None:
        super().__init__(reason)
        self.may_take_effect = may_take_effect
