"""Tests of documents and of the record envelope."""

import msgspec
import pytest

from .. import (
    CarryRecord,
    ConfigurationChange,
    DocumentError,
    RecordError,
    check_services,
    decode_document,
    decode_record,
    encode_record,
)


def _stage(name, *after):
    return {"name": name, "service": "s", "operation": "o", "after": after}


class TestDocuments:
    """An invalid document is rejected with the path of the invalid field."""

    @pytest.mark.parametrize(
        ("kind", "raw", "field"),
        [
            ("drain", {"host": "h", "reason": "r", "extra": 1}, "$.extra"),
            ("drain", {"host": "h", "reason": 4}, "$.reason"),
            ("drain", {"host": "", "reason": "r"}, "$.host"),
            ("template", {"name": "t", "stages": []}, "$.stages"),
            (
                "template",
                {"name": "t", "stages": [_stage("a", "b"), _stage("b", "a")]},
                "$.stages",
            ),
            (
                "template",
                {"name": "t", "stages": [_stage("a"), _stage("a")]},
                "$.stages[1].name",
            ),
            (
                "template",
                {"name": "t", "stages": [_stage("a", "x")]},
                "$.stages[0].after",
            ),
            (
                "account",
                {"name": "a", "credential_sha256": [], "templates": {"t": {"p": 1}}},
                "$.templates.t.p",
            ),
            (
                "account",
                {
                    "name": "a",
                    "credential_sha256": [],
                    "templates": {"t": {"priority": 4}},
                },
                "$.templates.t.priority",
            ),
            (
                "account",
                {"name": "a", "credential_sha256": ["x"]},
                "$.credential_sha256[0]",
            ),
            ("unknown", {}, "kind"),
        ],
    )
    def test_invalid_document_is_rejected(self, kind, raw, field):
        """Guards against an invalid document that fails only when it is used."""
        with pytest.raises(DocumentError) as caught:
            decode_document(kind, msgspec.json.encode(raw))
        assert caught.value.field == field

    def test_unknown_service_is_rejected(self):
        """Guards against a template of which no request can complete."""
        raw = {"name": "t", "stages": [_stage("a"), _stage("b", "a")]}
        template = decode_document("template", msgspec.json.encode(raw))
        check_services(template, {"s"}.__contains__)
        with pytest.raises(DocumentError) as caught:
            check_services(template, set().__contains__)
        assert caught.value.field == "$.stages[0].service"


class TestEnvelope:
    """The envelope accepts newer schemas and rejects malformed values."""

    def test_newer_schema_may_add_fields(self):
        """Guards against a reader that stops at the first record of a newer schema."""
        change = ConfigurationChange("c", "drain", "h", 0, b"?", schema=2)
        raw = msgspec.msgpack.decode(encode_record(change))
        value = msgspec.msgpack.encode(raw | {"added": 1})
        assert decode_record(value) == change

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xc1garbage",
            msgspec.msgpack.encode([1, 2]),
            encode_record(ConfigurationChange("c", "drain", "", 0, b"")),
            encode_record(ConfigurationChange("c", "drain", "h", 0, bytes(70_000))),
            encode_record(CarryRecord("drain", "h", 5, "c", b"", False, as_of=4)),
        ],
    )
    def test_malformed_value_is_rejected(self, value):
        """Guards against exceptions other than RecordError, which readers handle."""
        with pytest.raises(RecordError):
            decode_record(value)
