"""Measures how reports of crashing requests spread between daemons, and their cost.

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
    RECENT_CRASH_S,
    AttemptEnded,
    AttemptStarted,
    CrashesAction,
    CrashesNode,
    MembersChanged,
    ReportsReceived,
    Started,
    Tick,
    UpstreamCrashed,
)
from godwitpass.internal.crashes.release import FIRST_TRIAL_S, compute_trial_delay_s
from godwitpass_testkit.measurements import Param, Row, write_rows

MAX_DATAGRAM_BYTES = 1200
DAEMON_COUNTS = (100, 1_400, 13_000)
DAEMONS_PER_REGION = 1_400
RESEND_INTERVALS_S = (0.2, 1.0, 5.0)
REQUESTS = 30
LOSS_RATE = 0.01
SPREAD_TIME_S = 3.0
SPREAD_CRASHES = 3
REFUSING_DAEMONS = 1_400
REFUSAL_TIME_S = 20.0
RELEASING_DAEMONS = (3, 5, 22, 67, 200)
RELEASED_REQUESTS = 20
REPETITIONS = 2_000
BODY_SIZES_BYTES = (0, 65_536)


class GossipMesh:
    """Crash nodes that gossip in rounds; messages arrive without delay or are lost.

    `loss` is the share of messages that are lost. Daemons in `cut_off` and the others don't reach
    each other.
    """

    def __init__(self, count: int, loss: float = 0.0) -> None:
        self.now = 0.0
        self.cut_off: frozenset[Address] = frozenset()
        self.messages_sent = self.bytes_sent = 0
        self.event_counts: Counter[int] = Counter()
        self._random = random.Random(7)
        self.loss = loss
        self.addresses = [
            Address(f"10.0.{number // 250}.{number % 250}:7") for number in range(count)
        ]
        self.nodes = {
            address: CrashesNode(address, random.Random(address)) for address in self.addresses
        }
        for node in self.nodes.values():
            node.handle(MembersChanged(tuple(self.addresses)), self.now)

    def send(self, address: Address, fingerprint: Fingerprint, crashes: bool) -> bool:
        """Send a request to a daemon and, with `crashes`, let it crash; False if it is refused."""
        node = self.nodes[address]
        if node.is_refused(fingerprint, self.now):
            return False
        self._perform_actions(address, node.handle(AttemptStarted(fingerprint), self.now))
        if crashes:
            self._perform_actions(address, node.handle(UpstreamCrashed(fingerprint), self.now))
        return True

    def start(self, address: Address, fingerprint: Fingerprint) -> bool:
        """Send a request to a daemon, where it runs; False if it is refused."""
        return self.send(address, fingerprint, crashes=False)

    def end(self, address: Address, event: AttemptEnded | UpstreamCrashed) -> None:
        """End a request that runs at a daemon."""
        self._perform_actions(address, self.nodes[address].handle(event, self.now))

    def restart(self, address: Address, start_id: str) -> None:
        """Replace a daemon with one that has just started and knows nothing of the crashes."""
        node = self.nodes[address] = CrashesNode(address, random.Random(address), start_id)
        node.handle(MembersChanged(tuple(self.addresses)), self.now)
        node.handle(Started(), self.now)

    def run(self, duration_s: float) -> None:
        """Run gossip rounds for `duration_s`."""
        for _ in range(round(duration_s / GOSSIP_INTERVAL_S)):
            self.now += GOSSIP_INTERVAL_S
            for address in self.addresses:
                self._perform_actions(address, self.nodes[address].handle(Tick(), self.now))

    def count_refusing(self, fingerprint: Fingerprint) -> int:
        """Return how many daemons refuse requests with `fingerprint`."""
        return sum(node.is_refused(fingerprint, self.now) for node in self.nodes.values())

    def _perform_actions(self, address: Address, actions: Sequence[CrashesAction]) -> None:
        for action in actions:
            match action:
                case Send(receiver, message):
                    payload = encode_message(message)
                    assert len(payload) <= MAX_DATAGRAM_BYTES
                    self.messages_sent += 1
                    self.bytes_sent += len(payload)
                    is_cut = (address in self.cut_off) != (receiver in self.cut_off)
                    if not is_cut and self._random.random() >= self.loss:
                        received = ReportsReceived(address, decode_message(payload))
                        self._perform_actions(
                            receiver, self.nodes[receiver].handle(received, self.now)
                        )
                case RecordEvent(kind):
                    self.event_counts[kind.number] += 1
                case SetTimer():
                    pass


def measure_spread(daemons: int, seed: int) -> list[Row]:
    """Measure gossip while one request crashes upstreams at a few random daemons in turn."""
    mesh = GossipMesh(daemons, LOSS_RATE)
    rng = random.Random(seed)
    crashing_fingerprint = compute_fingerprint("maal", "POST", b"/scans", b"poison")
    for _ in range(SPREAD_CRASHES):
        mesh.send(rng.choice(mesh.addresses), crashing_fingerprint, crashes=True)
        mesh.run(SPREAD_TIME_S)
    params: dict[str, Param] = {"daemons": daemons}
    return [
        Row("refusing_share", params, mesh.count_refusing(crashing_fingerprint) / daemons, "1"),
        Row(
            "messages_per_crash", params, mesh.messages_sent / SPREAD_CRASHES / daemons, "1/daemon"
        ),
        Row("bytes_per_crash", params, mesh.bytes_sent / SPREAD_CRASHES / daemons, "B/daemon"),
    ]


def measure_crashes(resend_s: float, seed: int) -> list[Row]:
    """Count crashes while a crashing request is sent to random daemons every `resend_s`."""
    mesh = GossipMesh(DAEMONS_PER_REGION, LOSS_RATE)
    rng = random.Random(seed)
    crashing_fingerprint = compute_fingerprint("maal", "POST", b"/scans", b"poison")
    crashes = 0
    for _ in range(REQUESTS):
        crashes += mesh.send(rng.choice(mesh.addresses), crashing_fingerprint, crashes=True)
        mesh.run(resend_s)
    return [Row("crashes", {"resend_s": resend_s, "sendings": REQUESTS}, crashes, "1")]


def measure_refusal_cost(daemons: int) -> list[Row]:
    """Measure what a refused request costs each daemon in the time after its last crash."""
    mesh = GossipMesh(daemons, LOSS_RATE)
    fingerprint = compute_fingerprint("maal", "POST", b"/scans", b"poison")
    for address in mesh.addresses[:SPREAD_CRASHES]:
        mesh.send(address, fingerprint, crashes=True)
        mesh.run(SPREAD_TIME_S)
    mesh.run(RECENT_CRASH_S)
    bytes_before = mesh.bytes_sent
    mesh.run(REFUSAL_TIME_S)
    bytes_per_s = (mesh.bytes_sent - bytes_before) / daemons / REFUSAL_TIME_S
    return [Row("refusal_cost", {"daemons": daemons}, bytes_per_s, "B/s")]


def measure_release(daemons: int) -> list[Row]:
    """Count crashes after a single burst, with an attempt at each daemon in each round."""
    crashes: list[int] = []
    for number in range(RELEASED_REQUESTS):
        fingerprint = compute_fingerprint("maal", "GET", b"/%d" % number, b"")
        mesh = GossipMesh(daemons, LOSS_RATE)
        for address in mesh.addresses[:SPREAD_CRASHES]:
            mesh.send(address, fingerprint, crashes=True)
        mesh.run(FIRST_TRIAL_S / 2)
        later_crashes = 0
        for _ in range(round(compute_trial_delay_s(daemons) / GOSSIP_INTERVAL_S)):
            for address in mesh.addresses:
                later_crashes += mesh.send(address, fingerprint, crashes=True)
            mesh.run(GOSSIP_INTERVAL_S)
        crashes.append(later_crashes)
    params: dict[str, Param] = {"daemons": daemons, "requests": RELEASED_REQUESTS}
    return [
        Row("crashes_after_burst", params, sum(crashes) / len(crashes), "1"),
        Row("most_crashes_after_burst", params, max(crashes), "1"),
    ]


def measure_fingerprints(body_bytes: int) -> list[Row]:
    """Measure the CPU time of the fingerprints by which suspected requests are recognised."""
    body = b"x" * body_bytes
    params: dict[str, Param] = {"body_bytes": body_bytes}
    started_at = time.process_time()
    for _ in range(REPETITIONS):
        compute_head_fingerprint("maal", "POST", b"/scans")
    head_done_at = time.process_time()
    for _ in range(REPETITIONS):
        compute_fingerprint("maal", "POST", b"/scans", body)
    done_at = time.process_time()
    return [
        Row("head_print", params, (head_done_at - started_at) / REPETITIONS * 1e6, "us"),
        Row("fingerprint", params, (done_at - head_done_at) / REPETITIONS * 1e6, "us"),
    ]


def main() -> None:
    """Measure and write the rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rows = [row for count in DAEMON_COUNTS for row in measure_spread(count, arguments.seed)]
    rows += [
        row for resend_s in RESEND_INTERVALS_S for row in measure_crashes(resend_s, arguments.seed)
    ]
    rows += measure_refusal_cost(REFUSING_DAEMONS)
    rows += [row for count in RELEASING_DAEMONS for row in measure_release(count)]
    rows += [row for body_bytes in BODY_SIZES_BYTES for row in measure_fingerprints(body_bytes)]
    write_rows(arguments.output, rows)
    for row in rows:
        print(f"{row.name:20} {row.params!s:40} {row.value:10.3f} {row.unit}")


if __name__ == "__main__":
    main()
