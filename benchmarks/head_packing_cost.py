"""Processor time to pack and unpack the head of a call, and the bytes that are left.

python -m benchmarks.head_packing_cost
"""

from __future__ import annotations

import time

from peppershore.connection.codec import encode_message
from peppershore.connection.head_packing import HeadPacker, HeadUnpacker
from peppershore.connection.messages.calls import CallStarted

HEADS = 20_000
MICROSECONDS = 1_000_000


def heads() -> list[bytes]:
    """Give the payloads of so many calls of one route."""
    return [
        encode_message(
            CallStarted(
                stream=number,
                method=b"GET",
                target=b"/refunds/%d" % number,
                headers=[
                    (b"host", b"refunds.example"),
                    (b"x-call-id", b"%016x" % (number * 7_919_777_773 % 2**63)),
                    (b"x-calling-service", b"kassa"),
                ],
                content_length=0,
                call_class="normal",
                repeatable=True,
                cancellable=True,
                deadline_milliseconds=4_000 - number % 900,
                data=b"",
                ended=True,
                trailers=[],
                service="kassa",
                route="read",
            )
        )
        for number in range(1, HEADS + 1)
    ]


def main() -> None:
    """Measure once over all heads and print means."""
    payloads = heads()
    packer, unpacker = HeadPacker(), HeadUnpacker()
    began = time.process_time()
    packed = [packer.pack(payload) for payload in payloads]
    half = time.process_time()
    unpacked = [unpacker.unpack(each).unwrap() for each in packed]
    ended = time.process_time()
    assert unpacked == payloads
    print(f"packing {(half - began) * MICROSECONDS / HEADS:.1f} µs")
    print(f"unpacking {(ended - half) * MICROSECONDS / HEADS:.1f} µs")
    print(f"bytes {sum(map(len, payloads)) / HEADS:.0f}", end=" -> ")
    print(f"{sum(map(len, packed)) / HEADS:.0f}")


if __name__ == "__main__":
    main()
