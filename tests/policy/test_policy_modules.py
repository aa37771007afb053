"""Tests that the deploy file lists the modules of the policy and that each says where its types are."""

from __future__ import annotations

import ast
import tomllib

from tests.support.paths import REPOSITORY_ROOT


def test_the_deploy_file_lists_all_policy_modules_and_each_says_where_its_types_are() -> None:
    with (REPOSITORY_ROOT / "deploy" / "balancer.toml").open("rb") as file:
        listed_modules = tomllib.load(file)["policy"]
    existing_modules = {
        str(path.relative_to(REPOSITORY_ROOT))
        for path in (REPOSITORY_ROOT / "limiter" / "policy").glob("*.py")
    }
    assert set(listed_modules) == existing_modules - {"limiter/policy/__init__.py"}
    for path in listed_modules:
        source = (REPOSITORY_ROOT / path).read_text()
        lines = source.splitlines()
        assert max(map(len, lines)) <= 110
        assert "limiter/model" in (ast.get_docstring(ast.parse(source)) or "")
