"""Tests of the in-memory log."""

import asyncio

import pytest

from .. import AppendFault, LogError, LoopTimerService, ManualTimerService, MemoryLog


class TestMemoryLog:
    """Offsets, expiry, faults and waits, as the log service has them."""

    def test_read_starts_at_the_first_retained_record(self):
        """Guards against returning expired records."""
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

    def test_lost_reply_keeps_the_record(self):
        """Guards against a lost reply that also drops the record.

        With the real service an append without a reply may have taken effect.
        """
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
        """Guards against a waiting read that is not woken by an append."""

        async def scenario():
            log = MemoryLog(LoopTimerService())
            reader = asyncio.ensure_future(log.read("s", 1, wait_s=5.0))
            await asyncio.sleep(0)
            await log.append("s", [b"x"])
            return await asyncio.wait_for(reader, 4)

        assert len(asyncio.run(scenario()).records) == 1

    def test_timeout_of_one_read_does_not_wake_others(self):
        """Guards against readers that poll without delay after one read timed out."""

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
