"""One persistent HTTP connection, without the library's retries."""

import geventhttpclient
import geventhttpclient.response

from agaterudder import utils

BLOCK_BYTES = 65_536
# Disables the retries of the library, whose number is the size of its
# connection pool plus 1: the caller alone decides whether a request is
# repeated.
NO_LIBRARY_RETRY = -1
TRANSPORT_ERRORS = (
    OSError,
    ValueError,
    geventhttpclient.response.HTTPParseError,
)


class HttpConnection:
    """A connection that carries one request at a time.

    :param network_seconds: limit of a single socket operation; the time of a
        whole request is limited by the caller.
    """

    __slots__ = ("_client",)

    def __init__(
        self, address: str, connect_seconds: float, network_seconds: float
    ) -> None:
        host, port = utils.split_address(address)
        self._client = geventhttpclient.HTTPClient(
            host,
            port,
            block_size=BLOCK_BYTES,
            connection_timeout=connect_seconds,
            network_timeout=network_seconds,
        )
        self._client._connection_pool.size = NO_LIBRARY_RETRY

    def open(self) -> None:
        """Connect before the first request.

        A failure to connect is thereby distinct from a failed request,
        which may have taken effect.

        :raises OSError: when the address can't be reached.
        """
        pool = self._client._connection_pool
        pool.return_socket(pool.get_socket())

    def request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> geventhttpclient.response.HTTPSocketPoolResponse:
        """Send a request; read the status and headers of the answer."""
        return self._client.request(method, path, body=body, headers=headers)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()
