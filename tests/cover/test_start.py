"""Start of the daemon's process on the platform."""

import subprocess
import sys

SCRIPT = """
import signal, sys
import godwitpass_platform.__main__ as entry

def set_signal(number, handler, sets=[]):
    assert (number, handler) == (signal.SIGHUP, signal.SIG_IGN)
    assert "godwitpass_platform.process" not in sys.modules
    assert "godwitpass_daemon" not in sys.modules
    print("ignored before the imports")
    sys.exit(0)

signal.signal = set_signal
entry.main()
"""


class TestStart:
    def test_sighup_during_the_imports_does_not_end_the_process(self) -> None:
        completed = subprocess.run([sys.executable, "-c", SCRIPT], capture_output=True, text=True)
        assert completed.stdout == "ignored before the imports\n", completed.stderr
