"""Decodes JSON and MessagePack; one error type for whatever is wrong.

A message may be too deeply nested for the decoder, or hold a number that
the type of its field can't. Callers need not know which errors of the
libraries that causes.
"""

import functools
import typing as t

import msgspec

from agaterudder import exceptions

MAX_REASON_CHARACTERS = 200
# MsgspecError and UnicodeDecodeError are kinds of ValueError.
DECODER_ERRORS = (ValueError, RecursionError, OverflowError)

_Decoded = t.TypeVar("_Decoded")


def from_json(content: bytes | msgspec.Raw, kind: type[_Decoded]) -> _Decoded:
    """Decode JSON.

    :raises Undecodable: when the content is not JSON of the type.
    """
    decoder: msgspec.json.Decoder[_Decoded]
    decoder = _json_decoder(t.cast(t.Hashable, kind))
    try:
        return decoder.decode(content)
    except DECODER_ERRORS as error:
        raise _undecodable(error) from error


def from_msgpack(content: bytes, kind: type[_Decoded]) -> _Decoded:
    """Decode MessagePack.

    :raises Undecodable: when the content is not MessagePack of the type.
    """
    decoder: msgspec.msgpack.Decoder[_Decoded]
    decoder = _msgpack_decoder(t.cast(t.Hashable, kind))
    try:
        return decoder.decode(content)
    except DECODER_ERRORS as error:
        raise _undecodable(error) from error


def _undecodable(error: Exception) -> exceptions.Undecodable:
    return exceptions.Undecodable(str(error)[:MAX_REASON_CHARACTERS])


@functools.cache
def _json_decoder(kind: t.Any) -> msgspec.json.Decoder[t.Any]:
    return msgspec.json.Decoder(kind)


@functools.cache
def _msgpack_decoder(kind: t.Any) -> msgspec.msgpack.Decoder[t.Any]:
    return msgspec.msgpack.Decoder(kind)
