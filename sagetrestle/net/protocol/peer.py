"""The protocol between fleet members: length-prefixed frames, each one type of a union in msgpack."""

from __future__ import annotations

import msgspec

from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.peers.frames import Ack, Hello, ObserverQuery, ObserverReply, Refused, Welcome
from sagetrestle.peers.links import NumberedMessage
from sagetrestle.takeover.messages import FleetMessage

MAX_FRAME = 8 << 20  # the largest frame is a snapshot of the consensus group's log


class Carried(msgspec.Struct, frozen=True, array_like=True, tag="carry"):
    """A numbered message of a member."""

    number: int
    message: FleetMessage


Frame = Hello | Welcome | Refused | Ack | ObserverQuery | ObserverReply | Carried
_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Frame)


def encode(frame: Hello | Welcome | Refused | Ack | ObserverQuery | ObserverReply | NumberedMessage) -> bytes:
    """Encode one frame."""
    return _ENCODER.encode(Carried(*frame) if isinstance(frame, NumberedMessage) else frame)


def decode(data: bytes) -> Hello | Welcome | Refused | Ack | ObserverQuery | ObserverReply | NumberedMessage:
    """Decode one frame. Raises ProtocolError."""
    try:
        frame = _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ProtocolError(f"a frame that can not be read: {error}") from None
    return NumberedMessage(frame.number, frame.message) if isinstance(frame, Carried) else frame
