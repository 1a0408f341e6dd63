"""The demo of a complete deployment."""

import subprocess
import sys

DEMO_TIMEOUT_S = 120


class TestDemo:
    def test_the_demo_answers_every_call_and_exits(self) -> None:
        command = [sys.executable, "-m", "godwitpass_testkit.demo", "--seconds", "1"]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=DEMO_TIMEOUT_S)
        assert completed.returncode == 0, completed.stdout + completed.stderr
        assert "in force on all 14 daemons" in completed.stdout
        assert "version 2: held by 14 of 14 daemons" in completed.stdout
        assert "daemons: 60 x 200" in completed.stdout
        assert "version-activated" in completed.stdout
