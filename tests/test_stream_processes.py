"""Short seeded run of streams through real gateway processes during releases."""

import asyncio

import pytest

from .stream_rig import StreamRig

PLAY_SECONDS = 8.0


class TestStreamProcesses:
    """Streams that break and are taken up at gateways which are out of step."""

    @pytest.mark.parametrize("seed", [1, 13])
    def test_streams_hold_the_events_of_one_version(self, tmp_path, seed):
        """Guards against joined, missing, doubled and backward events."""
        rig = StreamRig(tmp_path, seed, callers=12)
        report = asyncio.run(rig.run(PLAY_SECONDS))
        assert report.finished and report.went_on
        assert report.violations == []
