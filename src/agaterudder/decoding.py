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

_Decoded = t.TypeVar("_Decoded")


def from_json(content: bytes | msgspec.Raw, kind: type[_Decoded]) -> _Decoded:
    """Decode JSON.

    :raises Undecodable: when the content is not JSON of the type.
    """
    return t.cast(
        _Decoded, _decode(_json_decoder(t.cast(t.Hashable, kind)), content)
    )


def from_msgpack(content: bytes, kind: type[_Decoded]) -> _Decoded:
    """Decode MessagePack.

    :raises Undecodable: when the content is not MessagePack of the type.
    """
    return t.cast(
        _Decoded, _decode(_msgpack_decoder(t.cast(t.Hashable, kind)), content)
    )


def _decode(
    decoder: msgspec.json.Decoder[t.Any] | msgspec.msgpack.Decoder[t.Any],
    content: bytes | msgspec.Raw,
) -> t.Any:
    try:
        return decoder.decode(content)
    except (ValueError, RecursionError, OverflowError) as error:
        # MsgspecError and UnicodeDecodeError are kinds of ValueError.
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise exceptions.Undecodable(reason) from error


@functools.cache
def _json_decoder(kind: t.Any) -> msgspec.json.Decoder[t.Any]:
    return msgspec.json.Decoder(kind)


@functools.cache
def _msgpack_decoder(kind: t.Any) -> msgspec.msgpack.Decoder[t.Any]:
    return msgspec.msgpack.Decoder(kind)
