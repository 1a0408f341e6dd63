"""Durations on which the bound of a rate limit rests; see `docs/design/quotas.md`."""

TOKEN_LIFE_S = 0.25
"""Time from sending a request for tokens until the tokens expire."""

VOTE_LIFE_S = 0.55
"""Time from sending a vote until its coordinator stops counting it; one lost report lapses it."""

VOTE_PAUSE_S = 0.2
"""Time from the last vote for one electorate to the first for another, once in `REPEAT_S`.

Both electorates are counted for at most `VOTE_LIFE_S` less this; `OVERLAP_S` pays for it.
"""

OVERLAP_S = VOTE_LIFE_S - VOTE_PAUSE_S

SETTLING_S = 2.0
"""Time after its start in which a daemon neither votes nor grants.

Its earlier process may have voted for another electorate, and it may not know the others yet.
"""

REPORT_INTERVAL_S = 0.4
"""Interval of reports to each coordinator; must be shorter than `VOTE_LIFE_S`."""
