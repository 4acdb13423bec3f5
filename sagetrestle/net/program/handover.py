"""The sockets of a hot restart: finding the old process, passing listening sockets, and adopting them."""

from __future__ import annotations

import contextlib
import os
import socket
import stat
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any
from zlib import crc32

from twisted.internet.error import CannotListenError

from sagetrestle.handover import old_process, messages, new_process
from sagetrestle.net.transport.connection import Front
from sagetrestle.net.transport.connection_ends import Post
from sagetrestle.net.transport.handover import OldProcessLink, NewProcessFactory


class Handover:
    """One process's ends of the streams to the old process and from new processes.

    Each process has its own socket in the shared folder, so that no process removes the socket of a live one. The
    socket of a dead process refuses connections, and is removed by the process that finds it.
    """

    def __init__(
        self,
        reactor: Any,
        post: Post,
        folder: Path | None,
        name: str,
        log: Callable[[str], None],
        tls: Callable[[], Any],
    ) -> None:
        self._reactor, self._folder, self._log, self._tls = reactor, folder, log, tls
        self._prefix = f"sagetrestle-{crc32(name.encode()):08x}-"
        self._old_process_link, self._new_process_links = OldProcessLink(reactor, post), NewProcessFactory(post)
        self._port: Any = None
        self._fronts: Mapping[str, Front[Any]] = {}
        self._gap_logged = False
        self.has_old_process = False

    def found(self) -> int:
        """Return the number of sockets that may belong to an old process."""
        return len(self._candidate_paths())

    def _candidate_paths(self) -> list[str]:
        """Return the sockets of this scorer's other processes, newest first.

        Files that are not sockets, and sockets of other users, are left out.
        """
        found = []
        own = f"{self._prefix}{os.getpid()}"
        try:
            for path in self._folder.glob(f"{self._prefix}*") if self._folder else ():
                if path.name == own:
                    continue
                info = path.lstat()
                if stat.S_ISSOCK(info.st_mode) and info.st_uid == os.geteuid():
                    found.append((info.st_ctime_ns, str(path)))
                else:
                    self._log_gap_once(f"{path.name} is not a socket of this user")
        except OSError as error:
            self._log_gap_once(str(error))
        return [path for _, path in sorted(found, reverse=True)]

    def _log_gap_once(self, why: str) -> None:
        """Log, once for the process, why an upgrade may refuse connections for a time."""
        if not self._gap_logged:
            self._gap_logged = True
            self._log(f"upgrades may leave a gap: {why}")

    def perform(self, decision: old_process.Decision | new_process.Decision) -> None:
        """Carry out a decision of the old or the new process's state machine."""
        match decision:
            case new_process.Connect():
                self._old_process_link.connect(self._candidate_paths(), self._remove_stale_socket)
            case new_process.CloseConnection():
                self._old_process_link.disconnect()
            case new_process.SendMessage(message):
                self._old_process_link.send(message)
            case old_process.SendMessage(link, messages.Yours() as token):
                self._pass_sockets(link, token)
            case old_process.SendMessage(link, message):
                if link in self._new_process_links.streams:
                    self._new_process_links.streams[link].send(message)
            case old_process.CloseConnection(link):
                if link in self._new_process_links.streams:
                    self._new_process_links.streams[link].transport.loseConnection()

    def _remove_stale_socket(self, path: str) -> None:
        with contextlib.suppress(OSError):  # another new process removed it first
            os.unlink(path)

    def _pass_sockets(self, link: int, token: messages.Yours) -> None:
        """Send the token together with the listening sockets of the open fronts."""
        if link not in self._new_process_links.streams:
            return
        ports = {name: self._fronts[name].port for name in token.fronts if name in self._fronts}
        names = tuple(name for name, port in ports.items() if port is not None)
        self._new_process_links.streams[link].send(
            token._replace(fronts=names), [ports[name].fileno() for name in names]
        )

    def open(self) -> None:
        """Listen for new processes in the shared folder; if that fails, log it once and serve without."""
        if self._folder is None:
            self._log_gap_once("TMPDIR is not set")
        elif self._port is None:
            path = str(self._folder / f"{self._prefix}{os.getpid()}")
            try:
                if os.path.lexists(path):  # left by a dead process with the same process id
                    os.unlink(path)
                self._port = self._reactor.listenUNIX(path, self._new_process_links, mode=0o600)
            except (CannotListenError, OSError) as error:
                self._log_gap_once(str(error))

    def close(self) -> None:
        """Stop listening for new processes."""
        if self._port is not None:
            with contextlib.suppress(OSError):  # the folder or the socket in it was removed
                self._port.stopListening()
            self._port = None

    def adopt(self, names: tuple[str, ...], fronts: Mapping[str, Front[Any]]) -> None:
        """Listen on the sockets that the old process passed."""
        self._fronts = fronts
        self.has_old_process = self.has_old_process or bool(names)
        for name, fd in zip(names, self._old_process_link.take_sockets(), strict=False):
            front = fronts.get(name)
            if front is not None:
                port = self._adopt_port(front, fd)
                if front.port is None:
                    front.port = port
                else:
                    front.inherited_ports.append(port)
            os.close(fd)

    def listen(self, front: Front[Any], host: str, port: int, backlog: int) -> Any:
        """Open a listening socket whose address a second process may share (SO_REUSEPORT). Raises CannotListenError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind((host, port))
            listener.listen(backlog)
            return self._adopt_port(front, listener.fileno())
        except OSError as error:
            raise CannotListenError(host, port, error) from None
        finally:
            listener.close()

    def _adopt_port(self, front: Front[Any], fd: int) -> Any:
        """Have a front accept connections on a listening socket, which Twisted duplicates.

        Twisted calls ``shutdown`` on a listening socket that it created, which would stop it for the other process
        too; a socket that it adopted is only closed.
        """
        os.set_blocking(fd, False)
        with socket.socket(fileno=os.dup(fd)) as duplicate:
            family = duplicate.family
        if front.kind == "scgis":
            from twisted.protocols.tls import TLSMemoryBIOFactory

            return self._reactor.adoptStreamPort(fd, family, TLSMemoryBIOFactory(self._tls(), False, front))
        return self._reactor.adoptStreamPort(fd, family, front)
