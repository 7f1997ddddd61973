"""HTTP client of the command line."""

import dataclasses
import typing as t

import geventhttpclient
import geventhttpclient.response
import msgspec

from agaterudder import exceptions
from agaterudder import utils

TIMEOUT_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and decoded body of an answer."""

    status: int
    body: t.Any


class Client:
    """Client of the operators' API of one entry process.

    :param address: HTTP address of any entry VM.
    :param key: operator key, ``<name>.<secret>``.
    """

    __slots__ = ("_client", "_key")

    def __init__(self, address: str, key: str) -> None:
        host, port = utils.split_address(address)
        self._key = key
        self._client = geventhttpclient.HTTPClient(
            host, port, network_timeout=TIMEOUT_SECONDS
        )

    def get(self, path: str) -> Response:
        """Send a GET request."""
        return self._call("GET", path, b"")

    def post(self, path: str, content: t.Any) -> Response:
        """Send a POST request."""
        return self._call("POST", path, msgspec.json.encode(content))

    def _call(self, method: str, path: str, body: bytes) -> Response:
        try:
            response = self._client.request(
                method,
                "/v1/operator/" + path,
                body=body,
                headers={"Agaterudder-Operator-Key": self._key},
            )
            content = bytes(response.read())
        except geventhttpclient.response.HTTPParseError as error:
            raise exceptions.StreamClosed(str(error)) from error
        return Response(response.status_code, msgspec.json.decode(content))
