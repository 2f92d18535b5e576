"""A listener that accepts the connections in the kernel's queue before it closes, so that none is lost."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
BACKLOG = 512  # connections in the kernel's accept queue
EXHAUSTION_PAUSE_MS = 1000.0  # pause after accept(2) failed for lack of descriptors or memory
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def is_port_in_use(host: str, port: int) -> bool:
    """Whether another process listens at this address, such as the old version during an upgrade."""
    with socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))  # without SO_REUSEPORT, so it fails if another process listens
        except OSError as error:
            return error.errno == errno.EADDRINUSE
        return False


class Listener:
    """Accepts connections, a limited number per loop iteration, and creates a protocol for each.

    asyncio's server loses connections when it is closed: it drops those accepted in the same iteration, and
    the kernel resets those in its queue.  Both happen if a process is suspended during its shutdown.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        host: str,
        port: int,
        max_accepts: int,
        protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Start to listen; raises ``OSError``.

        The port is shared (``SO_REUSEPORT``): on an upgrade the new process listens beside the old one.
        ``max_accepts`` limits the connections accepted in one loop iteration.
        """
        self._max_accepts = max_accepts
        self._scheduler, self._protocol = scheduler, protocol
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[object]] = set()  # each attaches an accepted connection to its protocol
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
        """Set how many connections are accepted in one loop iteration."""
        self._max_accepts = max_accepts

    def close(self) -> None:
        """Accept the connections in the kernel's queue, then stop listening."""
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
                    continue  # accept(2) reports the error of a connection that broke in the queue
                # Without a pause the event loop would be busy with failing accepts.
                LOG.error("accepting connections is paused for 1 s: %s", error)
                self._loop.remove_reader(self._socket)
                self._scheduler.call_later(EXHAUSTION_PAUSE_MS, self._start_accepting)
                return
            accepted.setblocking(False)
            task = self._loop.create_task(self._loop.connect_accepted_socket(self._protocol, accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
