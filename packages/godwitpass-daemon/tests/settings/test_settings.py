"""Tests of reading and validating the settings of a daemon."""

import io
import json
from pathlib import Path
from typing import Any

import pytest

from godwitpass.errors import InvalidSettings
from godwitpass_daemon.settings import Profile, read_settings, report_settings

VALID: dict[str, Any] = {
    "instance": "status-desk-1",
    "zone": "lakes-a",
    "region": "great-lakes",
    "listen": {
        "outer": "127.0.0.1:7001",
        "inner": "127.0.0.1:7002",
        "admin": "127.0.0.1:7003",
        "peer": "[::1]:7004",
    },
    "store": ["127.0.0.1:7900"],
    "admin_token": "an-operators-token",
    "peer_key_file": "peer.key",
}


def write_settings(directory: Path, **changes: Any) -> Path:
    (directory / "peer.key").write_text("a-key-of-all-daemons\n")
    path = directory / "settings.json"
    path.write_text(json.dumps(VALID | changes, indent=1).replace("\n", " // comment\n", 1))
    return path


def find_pointers(path: Path) -> list[str]:
    with pytest.raises(InvalidSettings) as raised:
        read_settings(path)
    return sorted(finding.pointer for finding in raised.value.findings)


class TestSettings:
    def test_a_secret_is_read_from_its_file_and_never_shown(self, tmp_path: Path) -> None:
        settings = read_settings(write_settings(tmp_path, profile="large"))
        assert settings.peer_key == "a-key-of-all-daemons"
        assert settings.peer_key not in repr(settings)
        assert settings.profile is Profile.LARGE

    def test_a_second_peer_key_and_relative_tls_files_are_read(self, tmp_path: Path) -> None:
        tls = {"name": "peer.example"}
        for name in ("certificate", "private_key", "authority"):
            (tmp_path / name).write_text("PEM")
            tls[f"{name}_file"] = name
        path = write_settings(tmp_path, peer_key_accepted="the-key-that-comes-next", peer_tls=tls)
        settings = read_settings(path)
        assert settings.peer_keys == (b"a-key-of-all-daemons", b"the-key-that-comes-next")
        assert settings.peer_tls is not None
        assert Path(settings.peer_tls.authority_file) == tmp_path / "authority"
        tls["authority_file"] = "absent"
        path = write_settings(tmp_path, peer_key_accepted="k" * 65, peer_tls=tls)
        assert find_pointers(path) == ["/peer_key_accepted", "/peer_tls/authority_file"]

    def test_all_findings_are_reported_together(self, tmp_path: Path) -> None:
        listen = VALID["listen"] | {"outer": "localhost:80", "peer": "127.0.0.1:7003"}
        path = write_settings(
            tmp_path,
            listen=listen,
            store=["10.0.0.1:99999"],
            admin_token="short",
            peer_key_file="absent",
            zoen="lakes-a",
        )
        assert find_pointers(path) == sorted(
            ["/listen/outer", "/listen/peer", "/store/0", "/admin_token", "/peer_key_file", "/zoen"]
        )

    @pytest.mark.parametrize("content", [b"", b"[]", b"\xff", b'{"listen": 3, "store": {}}'])
    def test_a_malformed_file_is_refused(self, tmp_path: Path, content: bytes) -> None:
        path = tmp_path / "broken.json"
        path.write_bytes(content)
        assert find_pointers(path)

    def test_the_report_names_the_file_the_line_and_the_field(self, tmp_path: Path) -> None:
        output = io.StringIO()
        assert not report_settings(write_settings(tmp_path, instance="a b"), output)
        assert "settings.json: line 2: /instance:" in output.getvalue()
        assert not report_settings(tmp_path / "absent.json", output)
        assert report_settings(write_settings(tmp_path), output)
