import subprocess
import sys

DEMO_LIMIT_S = 120


class TestDemo:
    def test_the_demonstration_answers_every_call_and_ends_by_itself(self) -> None:
        command = [sys.executable, "-m", "godwitpass_testkit.demo", "--seconds", "1"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=DEMO_LIMIT_S)
        assert done.returncode == 0, done.stdout + done.stderr
        assert "in force on all 14 daemons" in done.stdout
        assert "version 2: held by 14 of 14 daemons" in done.stdout
        assert "daemons: 60 x 200" in done.stdout
        assert "version-activated" in done.stdout
