"""The deploy file lists the modules of the decision policy, and each says where its types are."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_the_deploy_file_lists_the_policy_and_each_module_names_its_types() -> None:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        policy = tomllib.load(file)["policy"]
    on_disk = {str(path.relative_to(ROOT)) for path in (ROOT / "limiter" / "policy").glob("*.py")}
    assert set(policy) == on_disk - {"limiter/policy/__init__.py"}
    for path in policy:
        source = (ROOT / path).read_text()
        lines = source.splitlines()
        assert max(map(len, lines)) <= 110
        assert "limiter/model" in (ast.get_docstring(ast.parse(source)) or "")
