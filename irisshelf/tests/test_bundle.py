"""Bundles: schema, sections, signatures."""

import json

import pytest

from irisshelf.bundle import canonical
from irisshelf.bundle import check
from irisshelf.bundle import envelope
from irisshelf.bundle import schema
from irisshelf.bundle import signing
from irisshelf.tests import examples


@pytest.mark.parametrize(
    ("change", "path", "part"),
    [
        ({"numbr": 3}, "numbr", "did you mean 'number'"),
        ({"number": 0}, "number", "greater than or equal to 1"),
        ({"format": 2}, "format", "less than or equal to 1"),
        ({"data_centres": {}}, "data_centres", "at least 1"),
        (
            {"services": {"lm": {"kind": "modle"}}},
            "services.lm.kind",
            "'model' or 'plain'",
        ),
        (
            {"services": {"lm": {"kind": "model", "load_bond": 2}}},
            "services.lm.load_bond",
            "did you mean 'load_bound'",
        ),
        (
            {"teams": {"a": {"key_sha256": "xyz"}}},
            "teams.a.key_sha256",
            "pattern",
        ),
        (
            {"signers": {"required": 3, "keys": {"anna": "A" * 43 + "="}}},
            "signers",
            "at most the number of keys",
        ),
    ],
)
def test_an_error_names_path_value_and_what_is_allowed(change, path, part):
    document = {**examples.bundle_document(), **change}
    found = check.validate(document, model=schema.Bundle).unwrap_err()
    (field,) = [f for f in found.fields if f.path == path]
    assert part in field.allowed


def test_all_errors_are_shown_at_once():
    document = {**examples.bundle_document(), "number": 0, "format": 9}
    found = check.validate(document, model=schema.Bundle).unwrap_err()
    assert {f.path for f in found.fields} == {"number", "format"}


@pytest.mark.parametrize(
    ("server", "part"),
    [
        ({"service": "nope"}, "service is 'nope'"),
        ({"data_centre": "nope"}, "data_centre is 'nope'"),
        ({"engines": []}, "engines is empty"),
        ({"engines": ["e0", "e0"]}, "names an engine twice"),
    ],
)
def test_references_must_hold(server, part):
    document = examples.bundle_document()
    servers = document["backend_servers"]
    servers["lm-0"] = {**servers["lm-0"], **server}
    found = check.validate(document, model=schema.Bundle).unwrap_err()
    assert part in str(found)


@pytest.mark.parametrize("text", ["", "{", "[" * 100_000, "1", "null"])
def test_what_is_no_bundle_is_refused(text):
    assert check.parse(text, model=schema.Bundle).is_err()


def test_sections_join_to_the_same_bundle():
    bundle = examples.bundle(number=7)
    sealed, sections = envelope.create(bundle)
    assert envelope.assemble_bundle(sealed, sections).unwrap() == bundle


@pytest.mark.parametrize(
    ("packed", "found"),
    [
        (canonical.compress(b"x" * 1000), b"x" * 1000),
        (canonical.compress(b""), b""),
        (canonical.compress(b"x" * 1000)[:-1], None),
        (b"nonsense", None),
        (canonical.compress(b"x" * (canonical.MAX_OBJECT_BYTES + 1)), None),
    ],
)
def test_objects_are_unpacked_whole_or_not_at_all(packed, found):
    assert canonical.decompress(packed) == found


def test_a_small_change_changes_few_sections():
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
def test_enough_entitled_people_must_sign(signers, required, valid):
    sealed, _ = envelope.create(examples.bundle(number=1))
    for name in signers:
        sealed = signing.sign(
            sealed, name=name, private_pem=examples.private_pem(name)
        )
    entitled = {n: examples.public_key(n) for n in ("anna", "bo")}
    checked = signing.verify(sealed, keys=entitled, required=required)
    assert checked.is_ok() == valid


def test_one_key_under_two_names_counts_once():
    sealed, _ = envelope.create(examples.bundle(number=1))
    pem = examples.private_pem("anna")
    for name in ("anna", "bo"):
        sealed = signing.sign(sealed, name=name, private_pem=pem)
    key = examples.public_key("anna")
    entitled = {"anna": key, "bo": key}
    assert signing.verify(sealed, keys=entitled, required=2).is_err()


@pytest.mark.parametrize("what", ["number", "section", "missing"])
def test_an_altered_bundle_is_refused(what):
    sealed, sections = envelope.create(examples.bundle(number=1))
    sealed = signing.sign(
        sealed, name="anna", private_pem=examples.private_pem("anna")
    )
    entitled = {"anna": examples.public_key("anna")}
    if what == "number":
        manifest = sealed.manifest.model_copy(update={"number": 2})
        sealed = sealed.model_copy(update={"manifest": manifest})
        assert signing.verify(sealed, keys=entitled, required=1).is_err()
        return
    root = json.loads(sections["root"])
    root["services"]["lm"]["load_bound"] = 9.0
    sections["root"] = canonical.encode(root)
    if what == "missing":
        del sections["root"]
    assert envelope.assemble_bundle(sealed, sections).is_err()
