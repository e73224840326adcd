"""Short seeded run of real gateway processes with signals and broken connections."""

import asyncio

import pytest

from .process_rig import ProcessRig

PLAY_SECONDS = 6.0


class TestProcesses:
    """Requests that may run once, at gateways that are separate processes."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_requests_run_at_most_once(self, tmp_path, seed):
        """Guards against a run after a promise, and against a second run."""
        report = asyncio.run(ProcessRig(tmp_path, seed).run(PLAY_SECONDS))
        assert report.twice == []
        assert report.run_though_refused == []
        assert len(report.statuses) > 50
        assert report.runs
