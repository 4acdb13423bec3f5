"""What goes over a link between members: frames of one union, packed by msgspec, with their length before them."""

from __future__ import annotations

import msgspec

from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.peers.frames import Ack, Hello, ObserverQuery, ObserverReply, Refused, Welcome
from sagetrestle.peers.links import NumberedMessage
from sagetrestle.takeover.messages import FleetMessage

MAX_FRAME = 8 << 20  # a snapshot of the council's log is the largest


class Carried(msgspec.Struct, frozen=True, array_like=True, tag="carry"):
    """A member's message with its number."""

    number: int
    message: FleetMessage


Frame = Hello | Welcome | Refused | Ack | ObserverQuery | ObserverReply | Carried
_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Frame)


def encode(frame: Hello | Welcome | Refused | Ack | ObserverQuery | ObserverReply | NumberedMessage) -> bytes:
    """Pack one frame."""
    return _ENCODER.encode(Carried(*frame) if isinstance(frame, NumberedMessage) else frame)


def decode(data: bytes) -> Hello | Welcome | Refused | Ack | ObserverQuery | ObserverReply | NumberedMessage:
    """Unpack one frame. Raises ProtocolError."""
    try:
        frame = _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ProtocolError(f"a frame that can not be read: {error}") from None
    return NumberedMessage(frame.number, frame.message) if isinstance(frame, Carried) else frame
