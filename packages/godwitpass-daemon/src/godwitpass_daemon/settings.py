"""Settings of one daemon, read from JSON with comments."""

import ipaddress
import sys
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, TextIO

import msgspec
from msgspec import Meta

from godwitpass.document import NAME_PATTERN
from godwitpass.errors import Finding, InvalidSettings
from godwitpass.events import Level
from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId
from godwitpass.internal.validation.findings import Findings
from godwitpass.internal.validation.reader import read_struct
from godwitpass.internal.validation.structure import format_value

MIN_SECRET_CHARS = 16
MAX_PEER_KEY_BYTES = 64
MAX_PORT = 65_535
SECRETS = ("admin_token", "peer_key", "peer_key_accepted")
OPTIONAL_SECRETS = ("peer_key_accepted",)
TLS_FILES = ("certificate_file", "private_key_file", "authority_file")


class Profile(Enum):
    """Size of the deployment, which chooses the defaults in `PROFILES`."""

    SMALL = "small"
    LARGE = "large"


class LogFormat(Enum):
    """Form of the log lines."""

    TEXT = "text"
    JSON = "json"


class LogOutput(Enum):
    """Where the log goes."""

    STDERR = "stderr"
    STDOUT = "stdout"


class Tuning(msgspec.Struct, frozen=True):
    """Defaults that follow from the size of a deployment."""

    timeline_events: int
    """Events that a daemon keeps for the time line."""


PROFILES = {
    Profile.SMALL: Tuning(timeline_events=5_000),
    Profile.LARGE: Tuning(timeline_events=1_000),
}


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The upstream beside this daemon."""

    service: Annotated[
        ServiceName, Meta(pattern=NAME_PATTERN, description="Service that it is a part of.")
    ]
    address: Annotated[Address, Meta(description="Where it takes calls.")]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where this daemon listens; each address is an IP number with a port."""

    outer: Annotated[Address, Meta(description="Calls from outside the mesh.")]
    inner: Annotated[Address, Meta(description="Calls from inside the mesh.")]
    admin: Annotated[Address, Meta(description="Administration API; keep it from outer callers.")]
    peer: Annotated[Address, Meta(description="Messages of other daemons, over UDP and TCP.")]
    advertised_peer: Annotated[
        Address | None,
        Meta(description="Where others reach `peer`, if a forwarder or NAT stands before it."),
    ] = None

    @property
    def reachable_peer(self) -> Address:
        """Return the address that other daemons send to."""
        return self.advertised_peer or self.peer


class PeerTlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mutual TLS for the large messages between daemons; files hold PEM."""

    certificate_file: Annotated[str, Meta(description="Certificate of this daemon.")]
    private_key_file: Annotated[str, Meta(description="Its private key.")]
    authority_file: Annotated[str, Meta(description="Certificate that signed those of daemons.")]
    name: Annotated[str, Meta(description="DNS name that the certificates of all daemons bear.")]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything one process is told; the rest comes from the document."""

    instance: Annotated[
        InstanceId, Meta(pattern=NAME_PATTERN, description="Unique among all daemons.")
    ]
    zone: Annotated[ZoneId, Meta(pattern=NAME_PATTERN, description="Availability zone.")]
    region: Annotated[RegionId, Meta(pattern=NAME_PATTERN, description="Region of the zone.")]
    listen: Annotated[ListenSettings, Meta(description="Addresses of this daemon.")]
    store: Annotated[
        tuple[Address, ...],
        Meta(min_length=1, description="Addresses of the platform's key-value service."),
    ]
    admin_token: Annotated[
        str, Meta(description="Token of operators, at least 16 characters; or `admin_token_file`.")
    ] = ""
    peer_key: Annotated[
        str,
        Meta(description="Key shared by all daemons, at least 16 characters; or `peer_key_file`."),
    ] = ""
    upstream: Annotated[
        UpstreamSettings | None, Meta(description="The upstream beside this daemon, if any.")
    ] = None
    link_mbps: Annotated[
        float,
        Meta(gt=0, description="Rate of the instance's link; the fastest ones read the store."),
    ] = 1000.0
    log_file: Annotated[
        str | None, Meta(description="File that gets the log too, as JSON lines; for tests.")
    ] = None
    admin_token_file: Annotated[
        str | None, Meta(description="File with the token, relative to the settings file.")
    ] = None
    peer_key_file: Annotated[
        str | None, Meta(description="File with the key, relative to the settings file.")
    ] = None
    peer_key_accepted: Annotated[
        str,
        Meta(description="Second key, only accepted, while keys change; or with `_file`."),
    ] = ""
    peer_key_accepted_file: Annotated[
        str | None, Meta(description="File with the second key, relative to the settings file.")
    ] = None
    peer_tls: Annotated[
        PeerTlsSettings | None, Meta(description="Mutual TLS between daemons, if wanted.")
    ] = None
    log_format: Annotated[LogFormat, Meta(description="Form of the log lines.")] = LogFormat.TEXT
    log_output: Annotated[
        LogOutput,
        Meta(description="Where the log goes; `stdout` never waits for a slow reader."),
    ] = LogOutput.STDERR
    log_level: Annotated[
        Level, Meta(description="Least severity in the log; the time line has all events.")
    ] = Level.INFO
    profile: Annotated[Profile, Meta(description="Size of the deployment; chooses defaults.")] = (
        Profile.SMALL
    )

    def __repr__(self) -> str:
        """Return a text without the secrets."""
        return f"Settings(instance={self.instance!r}, zone={self.zone!r}, region={self.region!r})"

    @property
    def peer_keys(self) -> tuple[bytes, ...]:
        """Return the keys that authenticate peers; the first one signs."""
        keys = (self.peer_key, self.peer_key_accepted)
        return tuple(key.encode() for key in keys if key)

    @property
    def tuning(self) -> Tuning:
        """Return the defaults of the profile."""
        return PROFILES[self.profile]


def read_settings(path: Path) -> Settings:
    """Read and check the settings file at `path`; raises `InvalidSettings` with all findings."""
    try:
        content = path.read_bytes()
    except OSError as error:
        finding = Finding("", f"can't be read: {error.strerror}", "correct the path", 0, str(path))
        raise InvalidSettings([finding]) from error
    secrets: dict[str, str] = {}

    def check(value: Any, settings: Settings | None, findings: Findings) -> None:
        if isinstance(value, dict):
            _check_listen(value.get("listen"), findings)
            _check_addresses(value, findings)
            for name in SECRETS:
                secrets[name] = _read_secret(value, name, path.parent, findings)
            _check_tls(value.get("peer_tls"), path.parent, findings)

    settings, found = read_struct(content, str(path), Settings, check)
    if settings is None:
        raise InvalidSettings(found)
    tls = _resolve_tls(settings.peer_tls, path.parent)
    return msgspec.structs.replace(settings, peer_tls=tls, **secrets)


def report_settings(path: Path, output: TextIO | None = None) -> bool:
    """Check the settings file at `path`, print the outcome and tell whether it is valid."""
    output = output or sys.stdout
    try:
        settings = read_settings(path)
    except InvalidSettings as error:
        print(error, file=output)
        return False
    print(f"{path}: valid settings of instance {settings.instance}", file=output)
    return True


def _check_listen(listen: Any, findings: Findings) -> None:
    if not isinstance(listen, dict):
        return
    taken: dict[str, str] = {}
    for name, address in listen.items():
        if not isinstance(address, str) or name not in ListenSettings.__struct_fields__:
            continue
        pointer = f"/listen/{name}"
        _check_address(address, pointer, findings)
        if address in taken:
            message = f"address {address!r} is taken by {taken[address]!r}"
            findings.add(pointer, message, "use another port")
        taken.setdefault(address, name)


def _check_addresses(value: dict[str, Any], findings: Findings) -> None:
    stores = value.get("store")
    for index, address in enumerate(stores if isinstance(stores, list) else []):
        if isinstance(address, str):
            _check_address(address, f"/store/{index}", findings)
    upstream = value.get("upstream")
    if isinstance(upstream, dict) and isinstance(upstream.get("address"), str):
        _check_address(upstream["address"], "/upstream/address", findings)


def _check_address(address: str, pointer: str, findings: Findings) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        message = f"{format_value(address)} is not an IP number with a port"
        findings.add(pointer, message, "write it as '10.0.0.1:7000'")


def _read_secret(value: dict[str, Any], name: str, folder: Path, findings: Findings) -> str:
    given, file = value.get(name, ""), value.get(f"{name}_file")
    pointer = f"/{name}"
    if not isinstance(given, str) or not isinstance(file, str | None):
        return ""
    if file is not None:
        pointer = f"/{name}_file"
        if given:
            findings.add(pointer, f"{name!r} is given too", "keep one of the two")
        try:
            given = (folder / file).read_text(encoding="utf-8").strip()
        except (OSError, ValueError) as error:
            findings.add(pointer, f"{format_value(file)} can't be read: {error}", "correct the path")
            return ""
    if not given and name in OPTIONAL_SECRETS:
        return ""
    if not given:
        findings.add("", f"neither {name!r} nor '{name}_file' is given", "add one of the two")
    elif len(given) < MIN_SECRET_CHARS:
        message = f"a secret of {len(given)} characters"
        findings.add(pointer, message, f"use at least {MIN_SECRET_CHARS}")
    elif name.startswith("peer_key") and len(given.encode()) > MAX_PEER_KEY_BYTES:
        message = f"a key of {len(given.encode())} bytes"
        findings.add(pointer, message, f"use at most {MAX_PEER_KEY_BYTES}")
    return given


def _check_tls(tls: Any, folder: Path, findings: Findings) -> None:
    if not isinstance(tls, dict):
        return
    for name in TLS_FILES:
        file = tls.get(name)
        if not isinstance(file, str):
            continue
        try:
            (folder / file).read_bytes()
        except OSError as error:
            message = f"{format_value(file)} can't be read: {error.strerror}"
            findings.add(f"/peer_tls/{name}", message, "correct the path")


def _resolve_tls(tls: PeerTlsSettings | None, folder: Path) -> PeerTlsSettings | None:
    if tls is None:
        return None
    paths = {name: str(folder / getattr(tls, name)) for name in TLS_FILES}
    return msgspec.structs.replace(tls, **paths)
