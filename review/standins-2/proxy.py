"""A proxy between the product and one worker, which can delay calls."""

import asyncio

import httplite

FORWARD_TIMEOUT_SECONDS = 5.0


class Proxy:
    """Passes calls on to a worker.

    :param delay: returns for how many seconds a call is held back, given the
        request; 0 to pass it on at once. The caller gets no answer to a call
        that is held back, and the worker gets it late.
    """

    def __init__(self, worker, log, delay):
        self._worker = worker
        self._log = log
        self._delay = delay
        self._server = httplite.Server(self._handle)
        self._late = set()

    async def start(self):
        """Listen, and have the worker name this address as its own."""
        await self._server.start()
        self._worker.public_address = self._server.address

    async def stop(self):
        """Stop listening."""
        for task in self._late:
            task.cancel()
        await self._server.stop()

    async def _handle(self, request):
        seconds = self._delay(request)
        if not seconds:
            status, body = await self._forward(request)
            if not status:
                raise httplite.NoAnswer
            return status, body
        self._log(
            "call held back", path=request.path, seconds=seconds,
            body=request.body.decode(),
        )
        task = asyncio.create_task(self._deliver(request, seconds))
        self._late.add(task)
        await asyncio.sleep(seconds)
        raise httplite.NoAnswer

    async def _deliver(self, request, seconds):
        await asyncio.sleep(seconds)
        status, body = await self._forward(request)
        self._log(
            "call delivered late", path=request.path, status=status, body=body
        )

    async def _forward(self, request):
        names = {"expect-instance": "Expect-Instance"}
        headers = {
            names[name]: value
            for name, value in request.headers.items()
            if name in names
        }
        return await httplite.call(
            self._worker.address, request.method, request.path, headers,
            request.json() if request.body else None, FORWARD_TIMEOUT_SECONDS,
        )
