"""General-purpose helpers."""

import itertools
import secrets
import typing as t

import gevent

IDENTIFIER_BYTES = 8

_T = t.TypeVar("_T")


def new_identifier() -> str:
    """Return a random identifier, 16 hexadecimal digits."""
    return secrets.token_hex(IDENTIFIER_BYTES)


def chunked(items: t.Iterable[_T], size: int) -> t.Iterator[list[_T]]:
    """Split items into lists of at most ``size``."""
    iterator = iter(items)
    while chunk := list(itertools.islice(iterator, size)):
        yield chunk


def split_address(address: str) -> tuple[str, int]:
    """Split ``"127.0.0.1:8080"`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def silent_timeout(seconds: float) -> gevent.Timeout:
    """Return a time-out that leaves its block without an exception."""
    return gevent.Timeout(seconds, t.cast(None, False))
