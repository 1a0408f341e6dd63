"""Large request bodies on the link to another daemon."""

import asyncio
import tracemalloc
from typing import Any
from unittest.mock import MagicMock

from godwitpass.ids import Address, InstanceId, RouteName, ServiceName
from godwitpass.internal.relay.frames import (
    BODY_CHUNK_BYTES,
    BodyChunk,
    Frame,
    FrameDecoder,
    OpenStream,
    WindowUpdate,
    encode_frame,
)
from godwitpass_daemon.relay.links import PeerLink

BODY_BYTES = 8 * 1024 * 1024
MAX_COPIED_BYTES = 1024 * 1024
"""What may be allocated at a time while one chunk is sent; a copy of the rest is far larger."""


class TestLargeBodies:
    def test_a_chunk_is_sent_without_a_copy_of_the_rest(self) -> None:
        # Guards against a daemon that answers nobody while it sends a large body.
        async def check() -> None:
            loop = asyncio.get_running_loop()
            link = PeerLink(
                InstanceId("i"), Address("127.0.0.1:1"), MagicMock(), loop.time, MagicMock()
            )
            transport = MagicMock(spec=asyncio.Transport)
            decoder, frames = FrameDecoder(), list[Frame]()
            transport.write.side_effect = lambda data: frames.extend(decoder.decode(data))
            link.connection_made(transport)
            body = bytes(range(256)) * (BODY_BYTES // 256)
            request = OpenStream(
                1, ServiceName("s"), RouteName("r"), b"", 1, 1, 1, True, len(body), b"", "r"
            )
            stream_id = link.open(MagicMock(), request, body)
            update = encode_frame(WindowUpdate(stream_id, BODY_CHUNK_BYTES))
            sent = bytearray()
            peaks: list[int] = []
            tracemalloc.start()
            for _ in range(0, BODY_BYTES, BODY_CHUNK_BYTES):
                frames.clear()
                tracemalloc.reset_peak()
                before = tracemalloc.get_traced_memory()[0]
                link.data_received(update)
                peaks.append(tracemalloc.get_traced_memory()[1] - before)
                sent += _join_chunks(frames)
            tracemalloc.stop()
            link.close()
            assert max(peaks) < MAX_COPIED_BYTES
            assert sent == body

        asyncio.run(check())


def _join_chunks(frames: list[Any]) -> bytes:
    return b"".join(frame.data for frame in frames if isinstance(frame, BodyChunk))
