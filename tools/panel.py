"""Plays days of the users' bench on several source trees and compares them in pairs.

The first tree is the reference. Every tree plays the same days with the same seeds and
without processor time, so that differences come from the decisions. Reports are kept
below ``--out`` by commit, and a day that was played before is not played again.

Example::

    python -m tools.panel --bench FLEETBENCH --site SITE.toml --why "reason" \
        --tree before=../before --tree after=. --days trouble-1,scale-1 --seeds 1,2
"""

import argparse
import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path

from .panel_report import Play, write_report

DEFAULT_DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"


@dataclass(frozen=True)
class Tree:
    """A source tree with the commit that is checked out there."""

    name: str
    path: Path
    commit: str


@dataclass(frozen=True)
class Job:
    """One day to be played on one tree."""

    tree: Tree
    site: Path
    day: str
    seed: int

    @property
    def report(self) -> str:
        """Name of the file of its report."""
        return f"{self.tree.commit}-{self.site.stem}-{self.day}-{self.seed}.json"


class Panel:
    """Plays jobs, some at a time, and shows progress on standard error."""

    def __init__(self, args: argparse.Namespace):
        self._args = args
        self._slots = asyncio.Semaphore(args.jobs)
        self._done = 0
        self._count = 0

    async def play_all(self, jobs: list[Job]) -> list[Play]:
        """Return the plays that gave a report."""
        self._count = len(jobs)
        found = await asyncio.gather(*(self._play(job) for job in jobs))
        return [play for play in found if play is not None]

    async def _play(self, job: Job) -> Play | None:
        path = (self._args.out / job.report).resolve()
        async with self._slots:
            if not path.exists():
                await self._run(job, path)
        self._done += 1
        if not path.exists():
            self._show(f"{job.report}: no report")
            return None
        report = json.loads(path.read_text())
        self._show(f"{job.tree.name} {job.day} {job.seed}: worth {report['G']:.3f}")
        return Play(job.tree.name, f"{job.site.stem} {job.day}", job.seed, report)

    async def _run(self, job: Job, path: Path) -> None:
        command = [str(self._args.bench.resolve()), "run", str(job.site.resolve())]
        command += [job.day, "--no-cpu", "--seed", str(job.seed)]
        command += ["--report", str(path), "--why", self._args.why]
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=job.tree.path,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await process.wait()

    def _show(self, text: str) -> None:
        print(f"[{self._done}/{self._count}] {text}", file=sys.stderr, flush=True)


async def _commit(path: Path) -> str:
    """Return the commit of a tree, which must have no uncommitted sources."""
    texts = []
    for command in (("rev-parse", "--short=10", "HEAD"), ("status", "--porcelain")):
        process = await asyncio.create_subprocess_exec(
            "git", "-C", str(path), *command, stdout=asyncio.subprocess.PIPE
        )
        out, _ = await process.communicate()
        texts.append(out.decode())
    changed = [line for line in texts[1].splitlines() if "journal/" not in line]
    if changed:
        raise SystemExit(f"{path}: commit first: {changed[0].strip()}")
    return texts[0].strip()


async def _trees(named: list[str]) -> list[Tree]:
    trees = []
    for text in named:
        name, _, path = text.partition("=")
        trees.append(Tree(name, Path(path), await _commit(Path(path))))
    return trees


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of a panel, all but its trees."""
    parser.add_argument("--bench", type=Path, required=True, help="fleetbench program")
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument("--days", default=DEFAULT_DAYS, help="names, with commas")
    parser.add_argument("--seeds", default="1,2,3", help="numbers, with commas")
    parser.add_argument("--jobs", type=int, default=3, help="days played at a time")
    parser.add_argument("--out", type=Path, default=Path("out/panel"))
    parser.add_argument("--why", required=True, help="line for the journal")


async def play(args: argparse.Namespace) -> None:
    """Play the panel of ``args.tree`` and write its report."""
    args.out.mkdir(parents=True, exist_ok=True)
    trees = await _trees(args.tree)
    jobs = [
        Job(tree, site, day, int(seed))
        for site in args.site
        for day in args.days.split(",")
        for seed in args.seeds.split(",")
        for tree in trees
    ]
    plays = await Panel(args).play_all(jobs)
    write_report(plays, [tree.name for tree in trees], args.out)


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--tree", action="append", required=True, help="NAME=PATH")
    add_arguments(parser)
    asyncio.run(play(parser.parse_args()))


if __name__ == "__main__":
    main()
