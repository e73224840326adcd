"""Tests of traces, scenarios and expectations."""

import msgspec
import pytest

from ...configuration import (
    Stage,
    Template,
    TemplateParameters,
    check_document,
)
from ...standins import run_operation
from .. import (
    TRACES,
    TraceError,
    decode_trace,
    encode_trace,
    expect,
    generate_trace,
    load_scenario,
    policy_from_text,
    read_scenario,
    request_input,
    scenario_names,
)
from ..results import FIGURES


class TestTraces:
    """Recorded traces survive their file format."""

    def test_committed_traces_equal_their_generation(self):
        """Guards against a trace that its scenario and seed do not produce."""
        for name in scenario_names():
            scenario, trace = load_scenario(name)
            assert generate_trace(scenario) == trace, name
            assert decode_trace(encode_trace(trace)) == trace

    def test_bad_line_is_named(self):
        """Guards against an error that does not say which line is wrong."""
        with pytest.raises(TraceError, match="line 2"):
            decode_trace(b'{"at_s":0,"template":"t","account":"a"}\n{"at_s":"x"}')

    def test_only_requests_with_a_shared_key_share_an_input(self):
        """Guards against answers that could be swapped without notice."""
        _, trace = load_scenario("mixed")
        seen: dict[bytes, str] = {}
        for index, req in enumerate(trace):
            data = msgspec.json.encode(request_input(req, index))
            assert data not in seen or seen[data] == req.key
            seen[data] = req.key


class TestScenarios:
    """Committed scenarios can be published and checked."""

    def test_documents_are_valid_and_figures_known(self):
        """Guards against a scenario that fails only when it is run."""
        assert len(list(TRACES.glob("*.jsonl"))) >= 13
        for name in scenario_names():
            scenario, _ = load_scenario(name)
            for document in scenario.templates:
                check_document(document)
            for account in scenario.accounts:
                check_document(account.document("0" * 64))
            assert {bound.figure for bound in scenario.bounds} <= set(FIGURES)

    def test_misspelt_scope_is_refused(self, tmp_path):
        """Guards against a bound that covers other requests than it states."""
        path = tmp_path / "s.json"
        path.write_text('{"bounds": [{"figure": "attainment", "acount": "a"}]}')
        with pytest.raises(TraceError, match="acount"):
            read_scenario(path)

    def test_unknown_policy_is_refused(self):
        """Guards against a baseline that silently is the policy itself."""
        assert policy_from_text("plain").routing == "random"
        with pytest.raises(TraceError):
            policy_from_text("routing=fastest")


class TestExpectation:
    """Answers are recomputed from the template."""

    TEMPLATE = Template(
        "t",
        (
            Stage("a", "s", "first"),
            Stage("b", "s", "second", after=("a",)),
            Stage("c", "s", "third", after=("b",)),
        ),
    )

    def test_stages_feed_each_other(self):
        """Guards against an expectation that ignores earlier stages."""
        found = expect(self.TEMPLATE, TemplateParameters(), {"x": 1}, 4)
        first = run_operation("first", "", {"x": 1})
        second = run_operation("second", "", first)
        assert found.output == run_operation("third", "", second)
        assert len(set(found.fingerprints.values())) == 3

    def test_omitted_stage_is_bridged(self):
        """Guards against an input that skips to the request's input."""
        parameters = TemplateParameters(stages=("a", "c"))
        found = expect(self.TEMPLATE, parameters, "x", 4)
        first = run_operation("first", "", "x")
        assert found.output == run_operation("third", "", first)
