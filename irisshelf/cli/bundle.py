"""Commands on bundles: check, diff, sign, submit, status, rollback."""

from __future__ import annotations

import json
import pathlib
import uuid
from collections.abc import Sequence
from typing import Annotated
from typing import Any

import result
import typer

from irisshelf.bundle import canonical
from irisshelf.bundle import check
from irisshelf.bundle import envelope
from irisshelf.bundle import schema
from irisshelf.bundle import signing
from irisshelf.cli import files
from irisshelf.cli import output
from irisshelf.cli import remote
from irisshelf.coordination import head
from irisshelf.store import interface
from irisshelf.store import messages

app = typer.Typer(no_args_is_help=True, help="Make and roll out bundles.")
_MAX_SUBMISSION_STEPS = 8

FileArgument = Annotated[pathlib.Path, typer.Argument(help="A bundle file.")]
OutOption = Annotated[
    pathlib.Path, typer.Option("--out", help="Where to write the result.")
]


@app.command("check", epilog="Example: irisshelf bundle check bundle.json")
def check_command(file: FileArgument, as_json: remote.JsonOption = False):
    """Checks a bundle file and shows every error at once."""
    bundle = files.read_bundle(file)
    output.show(
        f"{file}: bundle {bundle.number} is valid",
        {"valid": True, "number": bundle.number},
        as_json=as_json,
    )


@app.command("diff", epilog="Example: irisshelf bundle diff old.json new.json")
def diff_command(
    old: FileArgument, new: FileArgument, as_json: remote.JsonOption = False
):
    """Shows what differs between two bundle files."""
    before = files.read_bundle(old).model_dump(mode="json")
    after = files.read_bundle(new).model_dump(mode="json")
    changes = list(_differences("", before, after))
    lines = [f"{c['path']}: {c['old']!r} -> {c['new']!r}" for c in changes]
    output.show(
        "\n".join(lines) or "no difference",
        {"changes": changes},
        as_json=as_json,
    )


@app.command(
    "sign",
    epilog=(
        "Example: irisshelf bundle sign bundle.json --key anna.pem"
        " --name anna --out signed.json"
    ),
)
def sign_command(
    file: FileArgument,
    key: Annotated[pathlib.Path, typer.Option(help="Private key, PEM.")],
    name: Annotated[str, typer.Option(help="The signer's name.")],
    out: OutOption,
):
    """Adds one person's signature to a plain or signed bundle file."""
    signed = files.read_signed(file)
    private_pem = files.read_text(key).encode()
    try:
        sealed = signing.sign(
            signed.envelope, name=name, private_pem=private_pem
        )
    except ValueError as exc:
        output.fail(f"--key {key}: {exc}", code=output.EXIT_BAD_INPUT)
    files.write_signed(
        out, files.SignedFile(envelope=sealed, bundle=signed.bundle)
    )
    output.show(
        f"{out}: bundle {signed.bundle.number} signed by"
        f" {', '.join(sorted(sealed.signatures))}",
        None,
        as_json=False,
    )


@app.command(
    "submit",
    epilog=(
        "Example: irisshelf bundle submit signed.json --platform 127.0.0.1:7000"
    ),
)
def submit_command(
    file: FileArgument,
    platform: remote.PlatformOption,
    as_json: remote.JsonOption = False,
):
    """Stores a signed bundle and moves the head to it.

    The bundle's number must be above the head's. If another operator was
    faster, the command names the winner and exits with 1.
    """
    client = remote.connect(platform)
    signed = files.read_signed(file)
    row, current = remote.read_head(client)
    _check_signers(client, current, signed)
    sealed, sections = envelope.create(signed.bundle)
    sealed = envelope.Envelope(
        manifest=sealed.manifest, signatures=signed.envelope.signatures
    )
    _upload(client, sealed, sections)
    new_head = head.Head(
        number=signed.bundle.number,
        object_key=envelope.object_key(sealed),
        submission_id=uuid.uuid4().hex,
    )
    try:
        writes = head.submission(new_head, current=row)
    except ValueError as exc:
        output.fail(f"{file}: {exc}", code=output.EXIT_REFUSED)
    _report_outcome(
        _submit_until_settled(client, new_head, writes), new_head, as_json
    )


@app.command(
    "status",
    epilog="Example: irisshelf bundle status --platform 127.0.0.1:7000",
)
def status_command(
    platform: remote.PlatformOption, as_json: remote.JsonOption = False
):
    """Shows the head and which bundle each instance has in force."""
    client = remote.connect(platform)
    _, current = remote.read_head(client)
    number = current.number if current else 0
    in_force = {}
    for node in remote.list_instances(client):
        status = remote.fetch_json(node, "/status")
        in_force[node.name] = status["bundle"] if status else None
    lines = [f"head: {number}"]
    for name, bundle_number in sorted(in_force.items()):
        shown = "no answer" if bundle_number is None else bundle_number
        lines.append(f"{name}: {shown}")
    document = {"head": number, "in_force": in_force}
    output.show("\n".join(lines), document, as_json=as_json)


@app.command(
    "rollback",
    epilog=(
        "Example: irisshelf bundle rollback 41 --out again.json"
        " --platform 127.0.0.1:7000"
    ),
)
def rollback_command(
    number: Annotated[int, typer.Argument(help="Number to go back to.")],
    out: OutOption,
    platform: remote.PlatformOption,
):
    """Writes an old bundle under the next number, to sign and submit."""
    client = remote.connect(platform)
    _, current = remote.read_head(client)
    row = remote.read_row(client, head.history_row(number))
    old = head.decode(row.value) if row else None
    if old is None or current is None:
        output.fail(
            f"number is {number}, which the history does not have",
            code=output.EXIT_BAD_INPUT,
        )
    bundle = _fetch_bundle(client, old)
    reissued = bundle.model_copy(
        update={
            "number": current.number + 1,
            "note": f"rollback to {number}",
        }
    )
    files.write_bundle(out, reissued)
    output.show(
        f"{out}: content of {number} as number {reissued.number}; sign and"
        " submit it",
        None,
        as_json=False,
    )


def _differences(path: str, old: Any, new: Any):
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            inner = f"{path}.{key}" if path else key
            yield from _differences(inner, old.get(key), new.get(key))
    elif old != new:
        yield {"path": path, "old": old, "new": new}


def _check_signers(
    client: interface.Platform,
    current: head.Head | None,
    signed: files.SignedFile,
) -> None:
    """Ends the command if instances would reject the bundle's signatures.

    Checks against the signers of the current bundle, or the new bundle's own
    signers if there is none. Instances also apply their own settings, which
    are not known here.
    """
    signers = signed.bundle.signers
    if current is not None:
        signers = _fetch_bundle(client, current).signers
    checked = signing.verify(
        signed.envelope, keys=signers.keys, required=signers.required
    )
    if isinstance(checked, result.Err):
        output.fail(str(checked.err_value), code=output.EXIT_REFUSED)


def _upload(
    client: interface.Platform,
    sealed: envelope.Envelope,
    sections: dict[str, bytes],
) -> None:
    """Uploads the sections, then the envelope that the head will refer to."""
    objects = {
        envelope.section_key(sealed.manifest.sections[name]): data
        for name, data in sections.items()
    }
    objects[envelope.object_key(sealed)] = envelope.encode(sealed)
    for key, data in objects.items():
        stored = client.put_object(key, canonical.compress(data))
        if isinstance(stored, result.Err):
            output.fail(
                f"cannot store {key}: {stored.err_value.detail}",
                code=output.EXIT_UNAVAILABLE,
            )


def _submit_until_settled(
    client: interface.Platform,
    new_head: head.Head,
    writes: Sequence[messages.Write],
) -> head.Step:
    """Submits the new head, reading it back while the outcome is unknown.

    Returns:
        The last step; neither committed nor superseded if the outcome is still
        unknown after ``_MAX_SUBMISSION_STEPS``.
    """
    step: head.Step = head.Resubmit()
    for _ in range(_MAX_SUBMISSION_STEPS):
        if isinstance(step, head.Resubmit):
            step = head.after_submission(new_head, client.transact(writes))
        elif isinstance(step, head.ReadBack):
            step = head.after_read(
                new_head,
                client.read(head.ROW),
                if_version=writes[0].if_version,
            )
        else:
            break
    return step


def _report_outcome(
    step: head.Step, new_head: head.Head, as_json: bool
) -> None:
    if isinstance(step, head.Committed):
        output.show(
            f"bundle {new_head.number} submitted",
            {"submitted": new_head.number},
            as_json=as_json,
        )
    elif isinstance(step, head.Superseded):
        output.fail(
            f"bundle {new_head.number} lost against {step.winner.number}"
            f" ({step.winner.object_key})",
            code=output.EXIT_REFUSED,
        )
    else:
        output.fail(
            "the platform did not say whether the submission took effect;"
            " see 'irisshelf bundle status'",
            code=output.EXIT_UNAVAILABLE,
        )


def _fetch_bundle(
    client: interface.Platform, source: head.Head
) -> schema.Bundle:
    encoded = _fetch_object(client, source.object_key)
    parsed = check.parse(encoded, model=envelope.Envelope)
    if isinstance(parsed, result.Err):
        output.fail(
            f"{source.object_key}: {parsed.err_value}",
            code=output.EXIT_REFUSED,
        )
    sections = {
        name: _fetch_object(client, envelope.section_key(digest))
        for name, digest in parsed.ok_value.manifest.sections.items()
    }
    opened = envelope.assemble_bundle(parsed.ok_value, sections)
    if isinstance(opened, result.Err):
        output.fail(
            f"{source.object_key}: {opened.err_value}",
            code=output.EXIT_REFUSED,
        )
    return opened.ok_value


def _fetch_object(client: interface.Platform, key: str) -> bytes:
    found = client.get_object(key)
    if isinstance(found, result.Err):
        output.fail(
            f"cannot fetch {key}: {json.dumps(str(found.err_value))}",
            code=output.EXIT_UNAVAILABLE,
        )
    data = canonical.decompress(found.ok_value)
    if data is None:
        output.fail(f"{key} is damaged", code=output.EXIT_REFUSED)
    return data
