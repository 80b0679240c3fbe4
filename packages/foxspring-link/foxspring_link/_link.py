"""One-way message links between processes over pynng push and pull sockets.

Each process listens on one pull socket and dials one push socket per peer. A peer
from which nothing was received for a ping interval is pinged. A connection is
redialled once either end has received nothing for the silence limit, because
something between the two ends may have lost the state of the connection.
"""

import logging
import threading
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from foxspring_model import Clock, LinkPing, LinkPong

from foxspring_link._codec import Codec, MalformedMessageError
from foxspring_link._nng import pynng
from foxspring_link._repeat import repeat
from foxspring_link._retirement import (
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    Connection,
    retire,
)

_LOG = logging.getLogger(__name__)

MAX_LOGGED_ADDRESSES = 64
RECEIVE_RETRY_S = 0.1

Handler = Callable[[str, Any], None]


class SendResult(StrEnum):
    """Whether a message was queued for its peer."""

    QUEUED = "queued"
    NOT_SENT = "not_sent"


class LinkSettings(NamedTuple):
    """Settings: times in milliseconds, sizes in bytes, queues in messages."""

    ping_interval_ms: int = 500
    silence_limit_ms: int = 2_000
    send_queue: int = 256
    receive_queue: int = 1_024
    max_message_bytes: int = 32 * 1024 * 1024


DEFAULT_LINK_SETTINGS = LinkSettings()


class LinkCounters(NamedTuple):
    """Traffic counters of a link since its creation.

    ``dropped`` counts messages that could not be queued for their peer,
    ``redials`` connections that were replaced because one end received nothing
    for the silence limit.
    """

    bytes_sent: int
    bytes_received: int
    dropped: int
    redials: int


class _Peer:
    def __init__(self, address: str, connection: Connection) -> None:
        self.address = address
        self.connection = connection
        self.last_received_ms = 0
        self.last_dialled_ms = 0
        self.ping_id = 0


class Link:
    """Sends messages to peers by address and passes received ones to a handler.

    ``handler(sender, message)`` runs on the link's one receiving thread and
    must not block. ``sender`` is the listening address of the sending process, to
    which replies are sent.
    """

    def __init__(
        self,
        listen_address: str,
        codec: Codec,
        handler: Handler,
        clock: Clock,
        settings: LinkSettings = DEFAULT_LINK_SETTINGS,
        advertised_address: str = "",
    ) -> None:
        self._codec = codec
        self._handler = handler
        self._clock = clock
        self._settings = settings
        self._lock = threading.Lock()
        self._peers: dict[str, _Peer] = {}
        self._logged_addresses: set[str] = set()
        self._closing = threading.Event()
        self._socket = pynng.Pull0(
            recv_timeout=settings.ping_interval_ms,
            recv_buffer_size=settings.receive_queue,
            recv_max_size=settings.max_message_bytes,
        )
        self._socket.listen(f"tcp://{listen_address}")
        bound_address = str(self._socket.listeners[0].local_address)
        self.address = advertised_address or bound_address
        self.redials = 0
        self.dropped = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self._threads = [
            threading.Thread(target=self._receive, name="link-receive", daemon=True),
            threading.Thread(
                target=self._ping_idle_peers, name="link-watch", daemon=True
            ),
        ]

    def start(self) -> None:
        """Start receiving messages and pinging idle peers."""
        for thread in self._threads:
            thread.start()

    def send(self, address: str, message: Any) -> SendResult:
        """Queue ``message`` for the peer at ``address``; never blocks.

        ``NOT_SENT`` means that the message will certainly not reach the peer, also
        because the address can't be dialled.
        """
        frame = self._codec.encode(self.address, message)
        with self._lock:
            if self._closing.is_set():
                return SendResult.NOT_SENT
            peer = self._connected_peer(address)
            if peer is None:
                self.dropped += 1
                return SendResult.NOT_SENT
            if not peer.connection.send(frame):
                self.dropped += 1
                return SendResult.NOT_SENT
            self.bytes_sent += len(frame)
        return SendResult.QUEUED

    def counters(self) -> LinkCounters:
        """Return the traffic counters of the link."""
        return LinkCounters(
            self.bytes_sent, self.bytes_received, self.dropped, self.redials
        )

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer that was removed permanently."""
        with self._lock:
            peer = self._peers.pop(address, None)
        if peer is not None:
            retire(peer.connection.socket)

    def close(self) -> None:
        """Stop receiving and close every connection."""
        self._closing.set()
        for thread in self._threads:
            if thread.is_alive() and thread is not threading.current_thread():
                thread.join()
        with self._lock:
            for peer in self._peers.values():
                retire(peer.connection.socket)
            self._peers.clear()
        self._socket.close()

    def _connected_peer(self, address: str) -> _Peer | None:
        """Return a peer with a usable socket, or None if it can't be dialled."""
        peer = self._peers.get(address)
        if peer is None:
            return self._dial(address)
        if peer.connection.ended:
            retire(peer.connection.socket)
            return self._dial(address)
        return peer

    def _dial(self, address: str) -> _Peer | None:
        """Connect to a peer; return None if its address can't be dialled."""
        now = self._clock.monotonic_ms()
        connection = self._connect(address)
        if connection is None:
            self._peers.pop(address, None)
            return None
        peer = self._peers.get(address)
        if peer is None:
            peer = _Peer(address, connection)
            peer.last_received_ms = now
        peer.last_dialled_ms = now
        peer.connection = connection
        self._peers[address] = peer
        return peer

    def _connect(self, address: str) -> Connection | None:
        try:
            socket = pynng.Push0(
                send_buffer_size=self._settings.send_queue,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            connection = Connection(socket)
            socket.dial(f"tcp://{address}", block=False)
        except (pynng.NNGException, UnicodeError) as error:
            self._log_unusable(address, error)
            return None
        return connection

    def _log_unusable(self, address: str, error: Exception) -> None:
        if address in self._logged_addresses:
            return
        if len(self._logged_addresses) >= MAX_LOGGED_ADDRESSES:
            self._logged_addresses.clear()
        self._logged_addresses.add(address)
        _LOG.warning("event=dial_failed peer=%r reason=%r", address, str(error))

    def _receive(self) -> None:
        while not self._closing.is_set():
            try:
                frame = self._socket.recv()
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            except RuntimeError as error:
                # pynng can't return a message without bytes.
                _LOG.warning("event=message_refused reason=%r", str(error))
                continue
            except pynng.NNGException as error:
                _LOG.error("event=receive_failed reason=%r", str(error))
                self._closing.wait(RECEIVE_RETRY_S)
                continue
            self.bytes_received += len(frame)
            try:
                self._handle_frame(frame)
            except Exception:
                _LOG.exception("event=frame_failed bytes=%d", len(frame))

    def _handle_frame(self, frame: bytes) -> None:
        try:
            sender, message = self._codec.decode(frame)
        except MalformedMessageError as error:
            _LOG.warning("event=message_refused reason=%r", str(error))
            return
        self._record_received(sender)
        if isinstance(message, LinkPing):
            self._redial_if_unreachable(sender, message.silence_ms)
            self.send(sender, LinkPong(message.ping_id))
            return
        if isinstance(message, LinkPong):
            return
        try:
            self._handler(sender, message)
        except Exception:
            _LOG.exception(
                "event=handler_failed kind=%s sender=%s",
                type(message).__name__,
                sender,
            )

    def _record_received(self, sender: str) -> None:
        with self._lock:
            peer = self._peers.get(sender)
            if peer is not None:
                peer.last_received_ms = self._clock.monotonic_ms()

    def _ping_idle_peers(self) -> None:
        interval_s = self._settings.ping_interval_ms / 1_000
        repeat(self._check_peers, interval_s, self._closing)

    def _check_peers(self) -> None:
        with self._lock:
            peers = list(self._peers.values())
        for peer in peers:
            self._check_peer(peer)

    def _check_peer(self, peer: _Peer) -> None:
        now = self._clock.monotonic_ms()
        silence_ms = now - peer.last_received_ms
        if (
            now - max(peer.last_received_ms, peer.last_dialled_ms)
            > self._settings.silence_limit_ms
        ):
            self._redial(peer)
        if silence_ms < self._settings.ping_interval_ms:
            return
        peer.ping_id += 1
        self.send(peer.address, LinkPing(peer.ping_id, silence_ms))

    def _redial_if_unreachable(self, sender: str, silence_ms: int) -> None:
        # ``silence_ms`` is how long the sender has received nothing from this
        # process. That its ping arrived doesn't show that the connection to it works.
        if silence_ms <= self._settings.silence_limit_ms:
            return
        with self._lock:
            peer = self._peers.get(sender)
        since_ms = self._clock.monotonic_ms() - self._settings.silence_limit_ms
        if peer is not None and peer.last_dialled_ms < since_ms:
            self._redial(peer)

    def _redial(self, peer: _Peer) -> None:
        with self._lock:
            if self._peers.get(peer.address) is not peer or self._closing.is_set():
                return
            retire(peer.connection.socket)
            self._dial(peer.address)
            self.redials += 1
        _LOG.info("event=link_redialled peer=%s", peer.address)
