"""Tests of the index of placements."""

import asyncio

from ...core import ManualTimerService, MemoryLog
from .. import (
    ConfigurationChange,
    ConfigurationView,
    Drain,
    Placement,
    PlacementIndex,
    document_name,
    encode_document,
    publish,
)


class TestPlacementIndex:
    """Hosts of a model, by the placements in effect."""

    def test_index_follows_the_view(self):
        """Guards against routing by an outdated placement."""
        view = ConfigurationView("fleet")
        log = MemoryLog(ManualTimerService())
        index = PlacementIndex(view)

        def put(kind, document, deleted=False):
            name = document_name(document)
            body = b"" if deleted else encode_document(document)
            version = view.version(kind, name)
            change_id = f"chg-{view.position}"
            change = ConfigurationChange(
                change_id, kind, name, version, body, deleted=deleted
            )
            asyncio.run(publish(log, view, change))

        assert index.serves("h1", "a")
        put("placement", Placement("h1", ("a@2",)))
        put("placement", Placement("h2", ("a@1", "b")))
        held = [index.serves("h1", model) for model in ("a", "a@2", "a@1", "b", "")]
        assert held == [True, True, False, False, True]
        assert index.other_hosts_by_model("h1") == {"a": 1, "a@1": 1, "b": 1}
        put("drain", Drain("h2", "test"))
        assert index.other_hosts_by_model("h1") == {}
        put("placement", Placement("h1", ("b",)))
        assert not index.serves("h1", "a")
        put("placement", Placement("h1", ()), deleted=True)
        assert index.serves("h1", "a")
