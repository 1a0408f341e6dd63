"""Settings of one daemon, read from JSON with comments."""

from pathlib import Path

import jsonc
import msgspec

from godwitpass.errors import Finding, InvalidSettings
from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The upstream beside this daemon."""

    service: ServiceName
    address: Address


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where this daemon listens; `outer` takes calls from outside the mesh, `inner` from it."""

    outer: Address
    inner: Address
    admin: Address
    peer: Address


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything one process is told; the rest comes from the document."""

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    listen: ListenSettings
    store: tuple[Address, ...]
    admin_token: str
    peer_key: str
    upstream: UpstreamSettings | None = None
    log_file: str | None = None


def read_settings(path: Path) -> Settings:
    """Read and check the settings file at `path`; raises `InvalidSettings`."""
    try:
        raw = jsonc.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(raw, Settings)
    except (OSError, ValueError) as error:
        finding = Finding("", str(error), "correct the file", source=str(path))
        raise InvalidSettings([finding]) from error
