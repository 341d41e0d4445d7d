"""Tests of the bundle schema, sections and signatures."""

import json

import pytest

from irisshelf.bundle import canonical
from irisshelf.bundle import check
from irisshelf.bundle import envelope
from irisshelf.bundle import schema
from irisshelf.bundle import signing
from irisshelf.tests import examples


@pytest.mark.parametrize(
    ("change", "path", "value", "message"),
    [
        ({"numbr": 3}, "numbr", "3", "did you mean 'number'"),
        ({"number": 0}, "number", "0", "greater than or equal to 1"),
        ({"format": 2}, "format", "2", "less than or equal to 1"),
        ({"data_centres": {}}, "data_centres", "an object", "at least 1"),
        (
            {"services": {"lm": {"kind": "modle"}}},
            "services.lm.kind",
            "'modle'",
            "'model' or 'plain'",
        ),
        (
            {"services": {"lm": {"kind": "model", "load_bond": 2}}},
            "services.lm.load_bond",
            "2",
            "did you mean 'load_bound'",
        ),
        (
            {"teams": {"a": {"key_sha256": "xyz"}}},
            "teams.a.key_sha256",
            "'xyz'",
            "pattern",
        ),
        (
            {"signers": {"required": 3, "keys": {"anna": "A" * 43 + "="}}},
            "signers",
            "an object",
            "at most the number of keys",
        ),
    ],
)
def test_error_states_path_value_and_allowed_values(
    change, path, value, message
):
    document = {**examples.bundle_document(), **change}
    error = check.validate(document, model=schema.Bundle).unwrap_err()
    (field,) = error.fields
    assert (field.path, field.value) == (path, value)
    assert message in field.allowed


def test_all_errors_are_reported_at_once():
    document = {**examples.bundle_document(), "number": 0, "format": 9}
    error = check.validate(document, model=schema.Bundle).unwrap_err()
    assert {f.path for f in error.fields} == {"number", "format"}


@pytest.mark.parametrize(
    ("server", "message"),
    [
        ({"service": "nope"}, "service is 'nope'"),
        ({"data_centre": "nope"}, "data_centre is 'nope'"),
        ({"engines": []}, "engines is empty"),
        ({"engines": ["e0", "e0"]}, "names an engine twice"),
    ],
)
def test_invalid_references_are_rejected(server, message):
    document = examples.bundle_document()
    servers = document["backend_servers"]
    servers["lm-0"] = {**servers["lm-0"], **server}
    error = check.validate(document, model=schema.Bundle).unwrap_err()
    assert message in str(error)


@pytest.mark.parametrize("text", ["", "{", "[" * 100_000, "1", "null"])
def test_invalid_documents_are_rejected(text):
    assert check.parse(text, model=schema.Bundle).is_err()


def test_sections_are_assembled_to_the_same_bundle():
    bundle = examples.bundle(number=7)
    created, sections = envelope.create(bundle)
    assert envelope.assemble_bundle(created, sections).unwrap() == bundle


@pytest.mark.parametrize(
    ("compressed", "expected"),
    [
        (canonical.compress(b"x" * 1000), b"x" * 1000),
        (canonical.compress(b""), b""),
        (canonical.compress(b"x" * 1000)[:-1], None),
        (b"nonsense", None),
        (canonical.compress(b"x" * (canonical.MAX_OBJECT_BYTES + 1)), None),
    ],
)
def test_damaged_or_oversized_objects_are_not_decompressed(
    compressed, expected
):
    assert canonical.decompress(compressed) == expected


def test_small_change_affects_one_section():
    document = examples.bundle_document()
    document["teams"] = {
        f"team-{i}": {"key_sha256": f"{i:064x}"} for i in range(2000)
    }
    before = canonical.split(document)
    document["teams"]["team-7"]["share"] = 9.0
    after = canonical.split(document)
    changed = [name for name in after if after[name] != before.get(name)]
    assert changed == [f"teams/{canonical.shard_of('team-7')}"]


@pytest.mark.parametrize(
    ("signers", "required", "valid"),
    [
        (("anna", "bo"), 2, True),
        (("anna",), 1, True),
        (("anna",), 2, False),
        (("mallory", "anna"), 2, False),
        ((), 1, False),
    ],
)
def test_required_number_of_authorized_signers(signers, required, valid):
    created, _ = envelope.create(examples.bundle(number=1))
    for name in signers:
        created = signing.sign(
            created, name=name, private_pem=examples.private_pem(name)
        )
    authorized = {n: examples.public_key(n) for n in ("anna", "bo")}
    checked = signing.verify(created, keys=authorized, required=required)
    assert checked.is_ok() == valid


def test_key_under_two_names_counts_once():
    created, _ = envelope.create(examples.bundle(number=1))
    pem = examples.private_pem("anna")
    for name in ("anna", "bo"):
        created = signing.sign(created, name=name, private_pem=pem)
    key = examples.public_key("anna")
    authorized = {"anna": key, "bo": key}
    assert signing.verify(created, keys=authorized, required=2).is_err()


@pytest.mark.parametrize("altered", ["number", "section", "missing"])
def test_altered_bundle_is_rejected(altered):
    created, sections = envelope.create(examples.bundle(number=1))
    created = signing.sign(
        created, name="anna", private_pem=examples.private_pem("anna")
    )
    authorized = {"anna": examples.public_key("anna")}
    if altered == "number":
        manifest = created.manifest.model_copy(update={"number": 2})
        created = created.model_copy(update={"manifest": manifest})
        assert signing.verify(created, keys=authorized, required=1).is_err()
        return
    root = json.loads(sections["root"])
    root["services"]["lm"]["load_bound"] = 9.0
    sections["root"] = canonical.encode(root)
    if altered == "missing":
        del sections["root"]
    assert envelope.assemble_bundle(created, sections).is_err()
