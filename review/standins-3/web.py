"""A small HTTP/1.1 server for the stand-ins, with one thread a connection."""

import http.server
import json
import threading
import urllib.parse


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to the ``answer`` function of its server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *args):
        """Write no access log."""

    def _handle(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        parts = urllib.parse.urlsplit(self.path)
        query = dict(
            urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
        )
        found = self.server.answer(
            self.command, parts.path, query, self.headers, body
        )
        if found is None:
            # No answer: the connection ends.
            self.close_connection = True
            return
        status, content = found
        payload = json.dumps(content).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    do_GET = do_POST = do_PUT = do_DELETE = _handle


class Server(http.server.ThreadingHTTPServer):
    """Serves ``answer(method, path, query, headers, body)``.

    The function returns a status and what is sent as JSON, or None to end the
    connection without an answer.
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, answer, port=0):
        self.answer = answer
        self._connections = set()
        self._connections_lock = threading.Lock()
        super().__init__(("127.0.0.1", port), Handler)
        self.address = f"127.0.0.1:{self.server_address[1]}"

    def start(self):
        """Serve from a thread."""
        threading.Thread(
            target=self.serve_forever, args=(0.05,), daemon=True
        ).start()
        return self

    def handle_error(self, request, client_address):
        """Ignore broken connections."""

    def process_request(self, request, client_address):
        """Remember the connection, so that a crash can close it."""
        with self._connections_lock:
            self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Forget the connection."""
        with self._connections_lock:
            self._connections.discard(request)
        super().shutdown_request(request)

    def crash(self):
        """Stop listening and close every connection."""
        self.shutdown()
        self.server_close()
        with self._connections_lock:
            found = list(self._connections)
        for connection in found:
            try:
                connection.shutdown(2)
            except OSError:
                pass
