"""Settings of one daemon, read from a JSON file with comments."""

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
from godwitpass_daemon.resources import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    MIN_DESCRIPTORS,
    MIN_MEMORY_MB,
    Resources,
)

MIN_SECRET_CHARS = 16
MAX_PEER_KEY_BYTES = 64
MAX_PORT = 65_535
SECRET_FIELDS = ("admin_token", "peer_key", "peer_key_accepted")
OPTIONAL_SECRET_FIELDS = ("peer_key_accepted",)
TLS_FILE_FIELDS = ("certificate_file", "private_key_file", "authority_file")


class Profile(Enum):
    """Size of the deployment, which selects the defaults in `PROFILES`."""

    SMALL = "small"
    LARGE = "large"


class LogFormat(Enum):
    """Format of the log lines."""

    TEXT = "text"
    JSON = "json"


class LogOutput(Enum):
    """Stream that the log is written to."""

    STDERR = "stderr"
    STDOUT = "stdout"


class Tuning(msgspec.Struct, frozen=True):
    """Defaults that depend on the size of the deployment."""

    timeline_events: int
    """Number of events that a daemon keeps for the timeline."""


PROFILES = {
    Profile.SMALL: Tuning(timeline_events=5_000),
    Profile.LARGE: Tuning(timeline_events=1_000),
}


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The upstream beside this daemon."""

    service: Annotated[
        ServiceName, Meta(pattern=NAME_PATTERN, description="Service that the upstream belongs to.")
    ]
    address: Annotated[Address, Meta(description="Address where the upstream accepts calls.")]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that this daemon listens on; each is an IP address with a port."""

    outer: Annotated[Address, Meta(description="Calls from outside the mesh.")]
    inner: Annotated[Address, Meta(description="Calls from inside the mesh.")]
    admin: Annotated[Address, Meta(description="Administration API; hide it from outside callers.")]
    peer: Annotated[Address, Meta(description="Messages from other daemons, over UDP and TCP.")]
    advertised_peer: Annotated[
        Address | None,
        Meta(description="Address where other daemons reach `peer`, if behind a forwarder or NAT."),
    ] = None

    @property
    def reachable_peer(self) -> Address:
        """Return the address at which other daemons reach this one."""
        return self.advertised_peer or self.peer


class PeerTlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mutual TLS for the large messages between daemons; the files are in PEM format."""

    certificate_file: Annotated[str, Meta(description="Certificate of this daemon.")]
    private_key_file: Annotated[str, Meta(description="Private key of this daemon.")]
    authority_file: Annotated[
        str, Meta(description="CA certificate that signed the certificates of all daemons.")
    ]
    name: Annotated[str, Meta(description="DNS name in the certificates of all daemons.")]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon; all other configuration comes from the document."""

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
        Meta(
            gt=0,
            description="Link rate of the instance in Mbit/s; the fastest daemons read the store.",
        ),
    ] = 1000.0
    log_file: Annotated[
        str | None,
        Meta(description="File that the log is also written to, as JSON lines; for tests."),
    ] = None
    admin_token_file: Annotated[
        str | None, Meta(description="File with the token, relative to the settings file.")
    ] = None
    peer_key_file: Annotated[
        str | None, Meta(description="File with the key, relative to the settings file.")
    ] = None
    peer_key_accepted: Annotated[
        str,
        Meta(
            description="Second accepted key for key rotation, never used to sign; "
            "or `peer_key_accepted_file`."
        ),
    ] = ""
    peer_key_accepted_file: Annotated[
        str | None, Meta(description="File with the second key, relative to the settings file.")
    ] = None
    peer_tls: Annotated[
        PeerTlsSettings | None, Meta(description="Mutual TLS between daemons; off by default.")
    ] = None
    log_format: Annotated[LogFormat, Meta(description="Format of the log lines.")] = LogFormat.TEXT
    log_output: Annotated[
        LogOutput,
        Meta(description="Stream for the log; `stdout` never blocks on a slow reader."),
    ] = LogOutput.STDERR
    log_level: Annotated[
        Level, Meta(description="Lowest level in the log; the timeline has all events.")
    ] = Level.INFO
    memory_mb: Annotated[
        int,
        Meta(
            ge=MIN_MEMORY_MB,
            description="Memory of the instance for this process; bounds what clients may take.",
        ),
    ] = DEFAULT_MEMORY_MB
    max_descriptors: Annotated[
        int,
        Meta(
            ge=MIN_DESCRIPTORS,
            description="Descriptors that this process may open; bounds the open connections.",
        ),
    ] = DEFAULT_DESCRIPTORS
    profile: Annotated[Profile, Meta(description="Size of the deployment; selects defaults.")] = (
        Profile.SMALL
    )

    def __repr__(self) -> str:
        """Return a representation without the secrets."""
        return f"Settings(instance={self.instance!r}, zone={self.zone!r}, region={self.region!r})"

    @property
    def peer_keys(self) -> tuple[bytes, ...]:
        """Return the keys that authenticate peers; the first one signs messages."""
        keys = (self.peer_key, self.peer_key_accepted)
        return tuple(key.encode() for key in keys if key)

    @property
    def resources(self) -> Resources:
        """Return what the process may use."""
        return Resources(self.memory_mb, self.max_descriptors)

    @property
    def tuning(self) -> Tuning:
        """Return the defaults of the profile."""
        return PROFILES[self.profile]


def read_settings(path: Path) -> Settings:
    """Read and validate the settings file at `path`; raises `InvalidSettings` with all findings."""
    try:
        content = path.read_bytes()
    except OSError as error:
        finding = Finding("", f"can't be read: {error.strerror}", "correct the path", 0, str(path))
        raise InvalidSettings([finding]) from error
    secrets: dict[str, str] = {}

    def check_content(value: Any, settings: Settings | None, findings: Findings) -> None:
        if isinstance(value, dict):
            _check_listen_addresses(value.get("listen"), findings)
            _check_store_and_upstream_addresses(value, findings)
            for name in SECRET_FIELDS:
                secrets[name] = _read_secret(value, name, path.parent, findings)
            _check_tls_files(value.get("peer_tls"), path.parent, findings)

    settings, all_findings = read_struct(content, str(path), Settings, check_content)
    if settings is None:
        raise InvalidSettings(all_findings)
    tls = _resolve_tls_paths(settings.peer_tls, path.parent)
    return msgspec.structs.replace(settings, peer_tls=tls, **secrets)


def report_settings(path: Path, output: TextIO | None = None) -> bool:
    """Validate the settings file at `path`, print the result and return whether it is valid."""
    output = output or sys.stdout
    try:
        settings = read_settings(path)
    except InvalidSettings as error:
        print(error, file=output)
        return False
    print(f"{path}: valid settings of instance {settings.instance}", file=output)
    return True


def _check_listen_addresses(listen: Any, findings: Findings) -> None:
    if not isinstance(listen, dict):
        return
    names_by_address: dict[str, str] = {}
    for name, address in listen.items():
        if not isinstance(address, str) or name not in ListenSettings.__struct_fields__:
            continue
        pointer = f"/listen/{name}"
        _check_address(address, pointer, findings)
        if address in names_by_address:
            message = f"address {address!r} is already used by {names_by_address[address]!r}"
            findings.add(pointer, message, "use another port")
        names_by_address.setdefault(address, name)


def _check_store_and_upstream_addresses(value: dict[str, Any], findings: Findings) -> None:
    store_addresses = value.get("store")
    for index, address in enumerate(store_addresses if isinstance(store_addresses, list) else []):
        if isinstance(address, str):
            _check_address(address, f"/store/{index}", findings)
    upstream = value.get("upstream")
    if isinstance(upstream, dict) and isinstance(upstream.get("address"), str):
        _check_address(upstream["address"], "/upstream/address", findings)


def _check_address(address: str, pointer: str, findings: Findings) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        is_valid = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        message = f"{format_value(address)} is not an IP address with a port"
        findings.add(pointer, message, "write it as '10.0.0.1:7000'")


def _read_secret(value: dict[str, Any], name: str, directory: Path, findings: Findings) -> str:
    secret, file = value.get(name, ""), value.get(f"{name}_file")
    pointer = f"/{name}"
    if not isinstance(secret, str) or not isinstance(file, str | None):
        return ""
    if file is not None:
        pointer = f"/{name}_file"
        if secret:
            findings.add(pointer, f"{name!r} is set too", "keep one of the two")
        try:
            secret = (directory / file).read_text(encoding="utf-8").strip()
        except (OSError, ValueError) as error:
            findings.add(
                pointer, f"{format_value(file)} can't be read: {error}", "correct the path"
            )
            return ""
    if not secret and name in OPTIONAL_SECRET_FIELDS:
        return ""
    if not secret:
        findings.add("", f"neither {name!r} nor '{name}_file' is set", "add one of the two")
    elif len(secret) < MIN_SECRET_CHARS:
        message = f"the secret has {len(secret)} characters"
        findings.add(pointer, message, f"use at least {MIN_SECRET_CHARS}")
    elif name.startswith("peer_key") and len(secret.encode()) > MAX_PEER_KEY_BYTES:
        message = f"the key has {len(secret.encode())} bytes"
        findings.add(pointer, message, f"use at most {MAX_PEER_KEY_BYTES}")
    return secret


def _check_tls_files(tls: Any, directory: Path, findings: Findings) -> None:
    if not isinstance(tls, dict):
        return
    for name in TLS_FILE_FIELDS:
        file = tls.get(name)
        if not isinstance(file, str):
            continue
        try:
            (directory / file).read_bytes()
        except OSError as error:
            message = f"{format_value(file)} can't be read: {error.strerror}"
            findings.add(f"/peer_tls/{name}", message, "correct the path")


def _resolve_tls_paths(tls: PeerTlsSettings | None, directory: Path) -> PeerTlsSettings | None:
    if tls is None:
        return None
    paths = {name: str(directory / getattr(tls, name)) for name in TLS_FILE_FIELDS}
    return msgspec.structs.replace(tls, **paths)
