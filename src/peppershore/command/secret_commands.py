"""``peppershore secret``: key material with which routes verify and sign.

Material is read from a file or standard input, or generated here. It is never accepted
on the command line and never shown.
"""

from __future__ import annotations

import secrets

import click
from returns.result import Failure, Result, Success

from peppershore.command.edit_options import EditNames, edit_options, run_edit
from peppershore.command.edits import read_tree
from peppershore.command.failures import Failed, not_found, usage
from peppershore.command.material_files import read_bounded
from peppershore.command.options import OperatorContext, operator_options
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.command.tree_output import view_tree
from peppershore.version.model import PutSecret, RemoveSecret

DEFAULT_MATERIAL_BYTES = 32
MIN_MATERIAL_BYTES = 16
MAX_MATERIAL_BYTES = 65_536

material_options = (
    click.option("--from-file", help='File with the material; "-" reads standard input.'),
    click.option(
        "--generate",
        type=click.IntRange(MIN_MATERIAL_BYTES, MAX_MATERIAL_BYTES),
        metavar="BYTES",
        help="Make so many random bytes.",
    ),
)


@click.group()
def secret() -> None:
    """Create, rotate, remove and list secrets; material is never shown."""


@secret.command()
@click.argument("name")
@material_options[0]
@material_options[1]
@edit_options
@operator_options
def put(
    context: OperatorContext,
    names: EditNames,
    name: str,
    from_file: str | None,
    generate: int | None,
) -> None:
    """Create the secret NAME, or add a generation to it and begin its rotation."""
    material = _material(context, from_file, generate)
    run_edit(context, names, PutSecret(name, material))


@secret.command()
@click.argument("name")
@material_options[0]
@material_options[1]
@edit_options
@operator_options
def rotate(
    context: OperatorContext,
    names: EditNames,
    name: str,
    from_file: str | None,
    generate: int | None,
) -> None:
    """Begin to rotate the secret NAME, which must exist.

    Every verifier gets the new generation first; signers use it once all
    verifiers hold it.  `peppershore status` shows a rotation that waits and why.
    Without --from-file or --generate, 32 random bytes are made.
    """
    tree = context.run(read_tree(context.group))
    if name not in tree.secrets:
        step = f"`peppershore secret put {name}` creates it"
        stop_with(not_found(f"the secret {name}", step), context.as_json)
    if from_file is None and generate is None:
        generate = DEFAULT_MATERIAL_BYTES
    material = _material(context, from_file, generate)
    run_edit(context, names, PutSecret(name, material))


@secret.command()
@click.argument("name")
@edit_options
@operator_options
def remove(context: OperatorContext, names: EditNames, name: str) -> None:
    """Remove the secret NAME; no route or service may use it."""
    run_edit(context, names, RemoveSecret(name))


@secret.command(name="list")
@operator_options
def list_(context: OperatorContext) -> None:
    """List the secrets: generations and state, no material."""
    found = context.run(read_tree(context.group))
    shown = view_tree(found).secrets
    if context.as_json:
        show_json({"version": found.version, "secrets": shown})
        return
    show_table(
        ("SECRET", "GENERATIONS", "SIGNING", "ROTATING", "REVISION"),
        [
            (
                item.name,
                item.generations,
                item.signing_generation,
                item.rotating,
                item.revision,
            )
            for item in shown
        ],
    )


def _material(
    context: OperatorContext, from_file: str | None, generate: int | None
) -> bytes:
    material = read_material(from_file, generate)
    if isinstance(material, Failure):
        stop_with(material.failure(), context.as_json)
    return material.unwrap()


def read_material(from_file: str | None, generate: int | None) -> Result[bytes, Failed]:
    """Read or generate material; fail unless one source is named and the length fits."""
    if (from_file is None) == (generate is None):
        step = "give --from-file PATH (or -) or --generate BYTES"
        return Failure(usage("exactly one source of material is needed", step))
    if generate is not None:
        return Success(secrets.token_bytes(generate))
    assert from_file is not None
    try:
        material = read_bounded(from_file, MAX_MATERIAL_BYTES)
    except OSError as problem:
        message = f"{from_file} can't be read: {problem.strerror}"
        return Failure(usage(message, "give a readable file"))
    if not MIN_MATERIAL_BYTES <= len(material) <= MAX_MATERIAL_BYTES:
        allowed = f"{MIN_MATERIAL_BYTES} to {MAX_MATERIAL_BYTES} bytes"
        message = f"{from_file} holds {len(material)} bytes; allowed are {allowed}"
        return Failure(usage(message, "give a file of that size"))
    return Success(material)
