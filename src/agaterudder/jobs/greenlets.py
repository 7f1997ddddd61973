"""Greenlets whose failure leaves a line in the log."""

import functools
import logging
import traceback
import typing as t

import gevent

LOG = logging.getLogger(__name__)


def spawn(
    function: t.Callable[..., t.Any],
    *arguments: t.Any,
    what: str,
    on_failure: t.Callable[[], None] | None = None,
    **fields: str,
) -> gevent.Greenlet:
    """Start a greenlet that is reported if it ends with an exception.

    :param what: what the greenlet does, for the line.
    :param on_failure: called after the line.
    :param fields: what it does this for, such as a pool or a worker.
    """
    greenlet = gevent.spawn(function, *arguments)
    watch(greenlet, what, **fields)
    if on_failure is not None:
        greenlet.link_exception(lambda _: on_failure())
    return greenlet


def watch(greenlet: gevent.Greenlet, what: str, **fields: str) -> None:
    """Report a greenlet if it ends with an exception."""
    greenlet.link_exception(functools.partial(_report, what, fields))


def _report(
    what: str, fields: dict[str, str], greenlet: gevent.Greenlet
) -> None:
    LOG.error(
        "background task failed",
        extra={
            "what": what,
            **fields,
            "why": repr(greenlet.exception),
            "at": _place(greenlet),
        },
    )


def _place(greenlet: gevent.Greenlet) -> str:
    """Return file and line of the exception."""
    found = greenlet.exc_info
    frames = traceback.extract_tb(found[2] if found else None)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
