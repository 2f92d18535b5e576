"""A listener whose end loses nobody: what the machine has let in is taken before it closes."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
BACKLOG = 512
PAUSE_MS = 1000.0  # after a want of descriptors or memory
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """Takes connections, so many in one go at most, and hands each to a protocol of its own.

    asyncio's own server drops those that it has accepted, and the machine resets those in its queue, where
    it is closed in the same turn: found by a process that was stopped through its last moments.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        host: str,
        port: int,
        max_accepts: int,
        protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """The port is shared (``SO_REUSEPORT``): a new version listens beside this one."""
        self.max_accepts = max_accepts
        self._scheduler, self._protocol = scheduler, protocol
        self._loop = asyncio.get_running_loop()
        self._accepting: set[asyncio.Task] = set()
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
        self._resume_accepting()

    def close(self) -> None:
        """Take who is there already, and nobody else."""
        if self._socket.fileno() < 0:
            return
        self._loop.remove_reader(self._socket)
        self._take(BACKLOG)
        self._socket.close()

    def _resume_accepting(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, lambda: self._take(self.max_accepts))

    def _take(self, most: int) -> None:
        for _ in range(most):
            try:
                accepted, _address = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    continue  # it broke before it was taken, and accept(2) tells its fault
                # Guards against a loop that does nothing but fail to accept.
                LOG.error("no connection is taken for a second: %s", error)
                self._loop.remove_reader(self._socket)
                self._scheduler.call_later(PAUSE_MS, self._resume_accepting)
                return
            accepted.setblocking(False)
            task = self._loop.create_task(self._loop.connect_accepted_socket(self._protocol, accepted))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
