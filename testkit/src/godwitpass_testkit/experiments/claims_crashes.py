"""Measures how the news of crashing requests spreads, and what it costs.

Run `python -m godwitpass_testkit.experiments.claims_crashes --output crashes.json`.
"""

import argparse
import random
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.crashes.fingerprint import (
    Fingerprint,
    compute_fingerprint,
    compute_head_fingerprint,
)
from godwitpass.internal.crashes.messages import decode_message, encode_message
from godwitpass.internal.crashes.node import (
    GOSSIP_INTERVAL_S,
    AttemptStarted,
    CrashesAction,
    CrashesNode,
    MembersChanged,
    ReportsReceived,
    Tick,
    UpstreamCrashed,
)
from godwitpass_testkit.measurements import Param, Row, write_rows

MAX_DATAGRAM_BYTES = 1200
DAEMONS = (100, 1_400, 13_000)
RESEND_S = (0.2, 1.0, 5.0)
SENDINGS = 30
LOSS = 0.01
SPREAD_S = 3.0
PRINTS = 2_000
BODY_BYTES = (0, 65_536)


class GossipMesh:
    """Daemons that gossip without delay in rounds."""

    def __init__(self, count: int, loss: float = 0.0) -> None:
        self.now = 0.0
        self.messages_sent = self.bytes_sent = 0
        self.event_counts: Counter[int] = Counter()
        self._random = random.Random(7)
        self._loss = loss
        self.addresses = [Address(f"10.0.{n // 250}.{n % 250}:7") for n in range(count)]
        self.nodes = {a: CrashesNode(a, random.Random(a)) for a in self.addresses}
        for node in self.nodes.values():
            node.handle(MembersChanged(tuple(self.addresses)), self.now)

    def send(self, address: Address, fingerprint: Fingerprint, crashes: bool) -> bool:
        """Let a caller send a request; False when it is refused."""
        node = self.nodes[address]
        if node.is_refused(fingerprint, self.now):
            return False
        self._perform(address, node.handle(AttemptStarted(fingerprint), self.now))
        if crashes:
            self._perform(address, node.handle(UpstreamCrashed(fingerprint), self.now))
        return True

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / GOSSIP_INTERVAL_S)):
            self.now += GOSSIP_INTERVAL_S
            for address in self.addresses:
                self._perform(address, self.nodes[address].handle(Tick(), self.now))

    def count_refusing(self, fingerprint: Fingerprint) -> int:
        """Return how many daemons refuse a request."""
        return sum(node.is_refused(fingerprint, self.now) for node in self.nodes.values())

    def _perform(self, address: Address, actions: Sequence[CrashesAction]) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    payload = encode_message(message)
                    assert len(payload) <= MAX_DATAGRAM_BYTES
                    self.messages_sent += 1
                    self.bytes_sent += len(payload)
                    if self._random.random() >= self._loss:
                        received = ReportsReceived(address, decode_message(payload))
                        self._perform(to, self.nodes[to].handle(received, self.now))
                case RecordEvent(kind):
                    self.event_counts[kind.number] += 1
                case SetTimer():
                    pass


def measure_spread(daemons: int, seed: int) -> list[Row]:
    """Let one request crash three upstreams at three daemons, and wait for the news."""
    mesh = GossipMesh(daemons, LOSS)
    rng = random.Random(seed)
    poison = compute_fingerprint("maal", "POST", b"/scans", b"poison")
    for _ in range(3):
        mesh.send(rng.choice(mesh.addresses), poison, crashes=True)
        mesh.run(SPREAD_S)
    params: dict[str, Param] = {"daemons": daemons}
    return [
        Row("refusing_share", params, mesh.count_refusing(poison) / daemons, "1"),
        Row("messages_per_crash", params, mesh.messages_sent / 3 / daemons, "1/daemon"),
        Row("bytes_per_crash", params, mesh.bytes_sent / 3 / daemons, "B/daemon"),
    ]


def measure_crashes(resend_s: float, seed: int) -> list[Row]:
    """Let a caller send a crashing request again and again, to any daemon."""
    mesh = GossipMesh(1_400, LOSS)
    rng = random.Random(seed)
    poison = compute_fingerprint("maal", "POST", b"/scans", b"poison")
    crashes = 0
    for _ in range(SENDINGS):
        crashes += mesh.send(rng.choice(mesh.addresses), poison, crashes=True)
        mesh.run(resend_s)
    return [Row("crashes", {"resend_s": resend_s, "sendings": SENDINGS}, crashes, "1")]


def measure_prints(body_bytes: int) -> list[Row]:
    """Take the processor's time for telling a request from the suspects."""
    body = b"x" * body_bytes
    params: dict[str, Param] = {"body_bytes": body_bytes}
    began = time.process_time()
    for _ in range(PRINTS):
        compute_head_fingerprint("maal", "POST", b"/scans")
    head_done = time.process_time()
    for _ in range(PRINTS):
        compute_fingerprint("maal", "POST", b"/scans", body)
    done = time.process_time()
    return [
        Row("head_print", params, (head_done - began) / PRINTS * 1e6, "us"),
        Row("fingerprint", params, (done - head_done) / PRINTS * 1e6, "us"),
    ]


def main() -> None:
    """Measure and write the rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rows = [row for count in DAEMONS for row in measure_spread(count, arguments.seed)]
    rows += [row for resend in RESEND_S for row in measure_crashes(resend, arguments.seed)]
    rows += [row for size in BODY_BYTES for row in measure_prints(size)]
    write_rows(arguments.output, rows)
    for row in rows:
        print(f"{row.name:20} {row.params!s:40} {row.value:10.3f} {row.unit}")


if __name__ == "__main__":
    main()
