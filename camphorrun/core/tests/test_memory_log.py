"""Tests of the log held in memory."""

import asyncio

import pytest

from .. import AppendFault, LogError, LoopTimerService, ManualTimerService, MemoryLog


class TestMemoryLog:
    """Offsets, expiry and faults behave like those of the log service."""

    def test_read_starts_at_the_first_kept_record(self):
        """Guards against expired records that are still served."""
        timers = ManualTimerService()
        log = MemoryLog(timers, retention_s=10.0)

        async def scenario():
            await log.append("s", [b"old"])
            timers.advance(20.0)
            await log.append("s", [b"new"])
            log.expire()
            return await log.read("s", 1)

        page = asyncio.run(scenario())
        assert [record.value for record in page.records] == [b"new"]
        assert (page.first_offset, page.next_offset, page.end_offset) == (2, 3, 3)

    def test_lost_reply_leaves_the_record(self):
        """Guards against a fault that is easier than the real one."""
        log = MemoryLog(ManualTimerService())
        log.append_faults.append(AppendFault.REPLY_LOST)

        async def scenario():
            with pytest.raises(LogError) as caught:
                await log.append("s", [b"x"])
            return caught.value.code, await log.read("s", 1)

        code, page = asyncio.run(scenario())
        assert code == "append_uncertain"
        assert len(page.records) == 1

    def test_waiting_reader_sees_an_append(self):
        """Guards against a waiting reader that misses an append."""

        async def scenario():
            log = MemoryLog(LoopTimerService())
            reader = asyncio.ensure_future(log.read("s", 1, wait_s=5.0))
            await asyncio.sleep(0)
            await log.append("s", [b"x"])
            return await asyncio.wait_for(reader, 4)

        assert len(asyncio.run(scenario()).records) == 1

    def test_end_of_one_wait_does_not_end_others(self):
        """Guards against readers that poll without pause once a wait has ended."""

        async def run():
            timers = ManualTimerService()
            log = MemoryLog(timers)
            short = asyncio.ensure_future(log.read("s", 1, wait_s=1.0))
            long = asyncio.ensure_future(log.read("s", 1, wait_s=5.0))
            await asyncio.sleep(0)
            timers.advance(1.5)
            page = await short
            later = asyncio.ensure_future(log.read("s", 1, wait_s=5.0))
            for _ in range(5):
                await asyncio.sleep(0)
            pending = not long.done() and not later.done()
            timers.advance(10.0)
            await asyncio.gather(long, later)
            return page.records, pending

        records, pending = asyncio.run(run())
        assert records == ()
        assert pending
