"""Long series of random histories of rate limits."""

import pytest

from godwitpass_testkit.quota_histories import QuotaHistory

FIRST_SEED, SERIES, HISTORIES_PER_SERIES = 10_000, 100, 100


@pytest.mark.nightly
class TestQuotaHistories:
    @pytest.mark.parametrize("series", range(SERIES))
    def test_no_customer_exceeds_its_bound(self, series: int) -> None:
        """Guards against rare interleavings in which owners grant more than the limit together."""
        first = FIRST_SEED + series * HISTORIES_PER_SERIES
        excesses = {
            seed: QuotaHistory(seed).run() for seed in range(first, first + HISTORIES_PER_SERIES)
        }
        assert not {seed: excess for seed, excess in excesses.items() if excess > 0}
