"""A listener that loses nobody when it closes: what the kernel has queued is accepted before."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
BACKLOG = 512  # connections that the kernel queues
EXHAUSTION_PAUSE_MS = 1000.0  # after accept(2) has failed for want of descriptors or memory
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def is_port_in_use(host: str, port: int) -> bool:
    """Whether another process listens there, such as the old version on an upgrade."""
    with socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))  # not shared, so this fails beside a listener
        except OSError as error:
            return error.errno == errno.EADDRINUSE
        return False


class Listener:
    """Accepts connections, a limited number in one go, and gives each a protocol of its own.

    asyncio's own server, closed in the iteration in which it has accepted somebody, drops them, and the
    kernel resets those in its queue: found with a process that was stopped through its last moments.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        host: str,
        port: int,
        max_accepts: int,
        protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Listen; raises ``OSError``.

        The port is shared (``SO_REUSEPORT``): on an upgrade the new process listens beside the old one.
        """
        self._max_accepts = max_accepts
        self._scheduler, self._protocol = scheduler, protocol
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[object]] = set()  # of connections being handed to their protocols
        self._socket = socket.socket(
            socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self._socket.bind((host, port))
            self._socket.listen(BACKLOG)
        except OSError:
            self._socket.close()
            raise
        self._start_accepting()

    def limit(self, max_accepts: int) -> None:
        """Accept no more than so many connections in one go."""
        self._max_accepts = max_accepts

    def close(self) -> None:
        """Accept those in the kernel's queue, and nobody after them."""
        if self._socket.fileno() < 0:
            return
        self._loop.remove_reader(self._socket)
        self._accept(BACKLOG)
        self._socket.close()

    def _start_accepting(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, lambda: self._accept(self._max_accepts))

    def _accept(self, max_accepts: int) -> None:
        for _ in range(max_accepts):
            try:
                accepted, _address = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    continue  # the connection broke in the queue, and accept(2) reports its error
                # Pause, or the loop would do nothing but fail to accept.
                LOG.error("no connection is taken for a second: %s", error)
                self._loop.remove_reader(self._socket)
                self._scheduler.call_later(EXHAUSTION_PAUSE_MS, self._start_accepting)
                return
            accepted.setblocking(False)
            task = self._loop.create_task(self._loop.connect_accepted_socket(self._protocol, accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
