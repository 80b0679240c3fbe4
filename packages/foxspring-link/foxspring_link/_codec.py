"""Message codec: msgpack with the message kind, authenticated by a MAC."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
from foxspring_model import UNDECODABLE

_MAC_BYTES = 16


class MalformedMessageError(Exception):
    """A frame has a wrong MAC or does not hold a known message.

    Check that both ends use the same ``[link] secret`` and version.
    """


class _Envelope(NamedTuple):
    kind: str
    sender: str
    body: bytes


class Codec:
    """Encodes and decodes authenticated messages of the given types.

    Each type is a ``NamedTuple``, and its class name is the kind on the wire. Both
    ends share ``secret``, of which the first 64 bytes are used.
    """

    def __init__(self, secret: bytes, types: Iterable[type]) -> None:
        self._secret = secret[:64]
        self._encoder = msgspec.msgpack.Encoder()
        self._envelopes = msgspec.msgpack.Decoder(_Envelope)
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
            kind.__name__: msgspec.msgpack.Decoder(kind) for kind in types
        }

    def encode(self, sender: str, message: Any) -> bytes:
        """Return the authenticated frame of ``message`` from ``sender``."""
        body = self._encoder.encode(message)
        envelope = _Envelope(type(message).__name__, sender, body)
        payload = self._encoder.encode(envelope)
        return self._mac(payload) + payload

    def decode(self, frame: bytes) -> tuple[str, Any]:
        """Verify ``frame`` and return its sender and message.

        Raises:
            MalformedMessageError: the MAC, the kind or the body is wrong.
        """
        mac, payload = frame[:_MAC_BYTES], frame[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise MalformedMessageError("MAC does not match; check [link] secret")
        try:
            envelope = self._envelopes.decode(payload)
            message = self._decoders[envelope.kind].decode(envelope.body)
        except KeyError as error:
            raise MalformedMessageError(f"unknown message kind {error}") from error
        except UNDECODABLE as error:
            raise MalformedMessageError(
                f"body does not match its kind: {error}"
            ) from error
        return envelope.sender, message

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._secret, digest_size=_MAC_BYTES
        ).digest()
