"""Style rules that no linter checks: imports of modules only, doc fields, sizes."""

import ast
import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
MODULES = sorted((ROOT / "sassafraslock").rglob("*.py"))
MAX_LINES = 400
MAX_FUNCTION_LINES = 50


def is_module(parent, name):
    try:
        return importlib.util.find_spec(f"{parent}.{name}") is not None
    except (ImportError, AttributeError):
        return False


@pytest.mark.parametrize("path", MODULES, ids=lambda p: p.stem)
def test_module_follows_the_style_rules(path):
    text = path.read_text()
    tree = ast.parse(text)
    assert ast.get_docstring(tree)
    assert text.count("\n") <= MAX_LINES
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module != "__future__":
            for alias in node.names:
                assert is_module(node.module, alias.name), alias.name
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            assert node.end_lineno - node.lineno <= MAX_FUNCTION_LINES, node.name
    check_docs(tree)


def check_docs(tree):
    classes = [n for n in tree.body if isinstance(n, ast.ClassDef) and n.name[0] != "_"]
    for scope in [tree, *classes]:
        for node in scope.body:
            is_function = isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
            if not is_function or node.name.startswith("_"):
                continue
            doc = ast.get_docstring(node) or ""
            names = [a.arg for a in node.args.args + node.args.kwonlyargs]
            missing = [n for n in names if n not in ("self", "cls") and f":param {n}:" not in doc]
            assert not missing, f"{node.name}: {missing}"
