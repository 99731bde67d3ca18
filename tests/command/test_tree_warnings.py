"""``tree validate`` warns of routes that no caller can use."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from peppershore.command.main import main
from peppershore.version.tree_file import tree_from_toml
from peppershore.version.warnings import warn_of

TREE = """
cluster = "refund"
[zones.pasila]
region = "uusimaa"

[zones.vantaa]
region = "uusimaa"

[nodes."/kassa"]

[nodes."/kassa/*/desk"]
path_prefix = "/desk"
audience = ["public"]

[nodes."/kassa/*/pay"]
path_prefix = "/pay"
audience = ["member"]

[nodes."/kassa/vantaa/pay"]
audience = ["member", "public"]
"""


def test_route_without_public_and_without_a_secret_is_warned_of() -> None:
    warnings = warn_of(tree_from_toml(TREE).unwrap())
    assert [warning.subject for warning in warnings] == ["/kassa/pasila/pay"]
    everywhere = TREE.replace('["member", "public"]', '["internal"]')
    warnings = warn_of(tree_from_toml(everywhere).unwrap())
    assert [warning.subject for warning in warnings] == ["/kassa/*/pay"]


@pytest.mark.parametrize("as_json", [True, False])
def test_validate_shows_the_warning_and_takes_the_tree(
    tmp_path: Path, as_json: bool
) -> None:
    path = tmp_path / "tree.toml"
    path.write_text(TREE)
    arguments = ["tree", "validate", str(path), *(["--json"] if as_json else [])]
    done = CliRunner().invoke(main, arguments)
    assert done.exit_code == 0, done.output
    if as_json:
        assert json.loads(done.stdout)["warnings"][0]["subject"] == "/kassa/pasila/pay"
    else:
        assert "warning: /kassa/pasila/pay serves nobody" in done.stderr
