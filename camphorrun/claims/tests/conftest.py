"""Fixture shared by the tests of claims."""

import pytest

from .world import World


@pytest.fixture
def world():
    world = World()
    world.agent, world.entry = world.process("agent"), world.process("entry")
    yield world
    world.close()
