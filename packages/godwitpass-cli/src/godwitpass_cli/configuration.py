"""Addresses and token of the administration API, from flags, environment or a file."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from godwitpass.errors import InvalidSettings
from godwitpass.ids import Address
from godwitpass.internal.validation.reader import read_struct
from godwitpass_cli.errors import CommandError
from godwitpass_cli.exit_codes import ExitCode

DEFAULT_PATH = Path("~/.config/godwitctl.json")


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses and credentials of the administration API."""

    addresses: Annotated[
        tuple[Address, ...], Meta(description="Administration addresses, tried in this order.")
    ] = ()
    token: Annotated[str, Meta(description="Token of operators.")] = ""
    token_file: Annotated[
        str | None, Meta(description="File with the token, instead of `token`.")
    ] = None

    def __repr__(self) -> str:
        """Return a representation without the token."""
        return f"Configuration(addresses={self.addresses!r})"


def load_configuration(
    path: Path | None, addresses: list[str], token: str | None, token_file: Path | None
) -> Configuration:
    """Return the configuration of the file at `path`; the other arguments override its values."""
    configuration = _read_file(path)
    if addresses:
        parsed_addresses = tuple(
            Address(part) for item in addresses for part in item.split(",") if part
        )
        configuration = msgspec.structs.replace(configuration, addresses=parsed_addresses)
    if token is None and token_file is None and not configuration.token:
        token_file = Path(configuration.token_file) if configuration.token_file else None
    if token_file is not None:
        token = _read_token(token_file)
    if token is not None:
        configuration = msgspec.structs.replace(configuration, token=token)
    return configuration


def _read_file(path: Path | None) -> Configuration:
    resolved_path = (path or DEFAULT_PATH).expanduser()
    if path is None and not resolved_path.exists():
        return Configuration()
    try:
        content = resolved_path.read_bytes()
    except OSError as error:
        raise CommandError(
            ExitCode.USAGE, f"{resolved_path} can't be read: {error.strerror}", "correct --config"
        ) from error
    configuration, findings = read_struct(
        content, str(resolved_path), Configuration, lambda *_: None
    )
    if configuration is None:
        raise InvalidSettings(findings)
    return configuration


def _read_token(path: Path) -> str:
    try:
        return path.expanduser().read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as error:
        message = f"token file {path} can't be read: {error}"
        raise CommandError(ExitCode.USAGE, message, "correct --token-file") from error
